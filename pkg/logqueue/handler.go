package logqueue

import (
	"context"
	"log/slog"
)

// handler passes warnings and errors to the urgent formatter and all other records
// to the ordinary one.
type handler struct {
	queue    *Queue
	ordinary slog.Handler
	urgent   slog.Handler
}

var _ slog.Handler = (*handler)(nil)

// Enabled reports whether a level is logged.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.ordinary.Enabled(ctx, level)
}

// Handle formats and queues one record.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, record)
	}
	return h.ordinary.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{queue: h.queue, ordinary: h.ordinary.WithAttrs(attrs), urgent: h.urgent.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts its attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{queue: h.queue, ordinary: h.ordinary.WithGroup(name), urgent: h.urgent.WithGroup(name)}
}
