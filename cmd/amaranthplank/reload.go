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

// reloadInterval is the interval between checks of files that may change without a
// signal.
const reloadInterval = 2 * time.Second

// reloader reads files periodically and on SIGHUP, and applies those that changed.
type reloader struct {
	log *slog.Logger
	// files maps the path of each file to the function that applies its content.
	// If that fails, the previously applied content stays in effect.
	files map[string]func(content []byte) error
	// contents holds the content of each file as it was last read.
	contents map[string][]byte
}

// newReloader returns a reloader that treats the current contents as applied.
func newReloader(log *slog.Logger, files map[string]func(content []byte) error) *reloader {
	r := &reloader{log: log, files: files, contents: make(map[string][]byte)}
	for path := range files {
		content, err := os.ReadFile(path)
		if err != nil {
			log.Error("file unreadable", "file", path, "error", err)
		}
		r.contents[path] = content
	}
	return r
}

// run checks the files until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.log.Info("SIGHUP received, checking the files for changes")
		case <-ticker.C:
		}
		r.checkFiles()
	}
}

// checkFiles applies the files whose content changed.
func (r *reloader) checkFiles() {
	for path, apply := range r.files {
		content, err := os.ReadFile(path)
		if err != nil {
			r.log.Error("file unreadable, the old text stays", "file", path, "error", err)
			continue
		}
		if bytes.Equal(content, r.contents[path]) {
			continue
		}
		r.contents[path] = content
		if err := apply(content); err != nil {
			r.log.Error("file malformed, the old text stays", "file", path, "error", err)
			continue
		}
		r.log.Info("file taken", "file", path, "bytes", len(content))
	}
}
