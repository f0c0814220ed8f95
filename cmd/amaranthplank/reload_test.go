package main

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// TestChangedFilesAreTakenOnce changes a file well, badly, not at all and away.
func TestChangedFilesAreTakenOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	write := func(text string) { must.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("one")
	var taken []string
	r := newReloader(slog.New(slog.DiscardHandler), map[string]func([]byte) error{path: func(text []byte) error {
		if string(text) == "bad" {
			return errors.New("bad")
		}
		taken = append(taken, string(text))
		return nil
	}})
	r.look()
	must.SliceEmpty(t, taken)
	for _, text := range []string{"two", "two", "bad", "three"} {
		write(text)
		r.look()
	}
	must.NoError(t, os.Remove(path))
	r.look()
	must.Eq(t, []string{"two", "three"}, taken)
}
