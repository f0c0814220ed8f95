package main

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// TestChangedFilesAreAppliedOnce checks that each valid change is applied exactly
// once, and that rewriting the same content, malformed content and removal of the
// file apply nothing.
func TestChangedFilesAreAppliedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	write := func(text string) { must.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("one")
	var applied []string
	r := newReloader(slog.New(slog.DiscardHandler), map[string]func([]byte) error{path: func(text []byte) error {
		if string(text) == "bad" {
			return errors.New("bad")
		}
		applied = append(applied, string(text))
		return nil
	}})
	r.checkFiles()
	must.SliceEmpty(t, applied)
	for _, text := range []string{"two", "two", "bad", "three"} {
		write(text)
		r.checkFiles()
	}
	must.NoError(t, os.Remove(path))
	r.checkFiles()
	must.Eq(t, []string{"two", "three"}, applied)
}
