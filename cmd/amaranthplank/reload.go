package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadEvery is the time between looks at a file that may change without a
// signal.
const reloadEvery = 2 * time.Second

// reloader reads files again when they change or a signal says that they did.
type reloader struct {
	log *slog.Logger
	// files are what is read, by path, with what takes in a new text. A text
	// that can't be taken leaves the one before in force.
	files map[string]func(text []byte) error
	texts map[string][]byte
}

// newReloader returns a reloader that takes the present texts for known.
func newReloader(log *slog.Logger, files map[string]func(text []byte) error) *reloader {
	r := &reloader{log: log, files: files, texts: make(map[string][]byte)}
	for path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			log.Error("file unreadable", "file", path, "error", err)
		}
		r.texts[path] = text
	}
	return r
}

// run looks at the files until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.log.Info("reload asked for")
		case <-ticker.C:
		}
		r.look()
	}
}

// look takes in the files whose text changed.
func (r *reloader) look() {
	for path, take := range r.files {
		text, err := os.ReadFile(path)
		if err != nil {
			r.log.Error("file unreadable, the old text stays", "file", path, "error", err)
			continue
		}
		if bytes.Equal(text, r.texts[path]) {
			continue
		}
		r.texts[path] = text
		if err := take(text); err != nil {
			r.log.Error("file malformed, the old text stays", "file", path, "error", err)
			continue
		}
		r.log.Info("file taken", "file", path, "bytes", len(text))
	}
}
