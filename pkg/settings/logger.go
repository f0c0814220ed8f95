package settings

import (
	"io"
	"log/slog"
)

// Logger returns a logger with the configured level and format that writes to
// out.
func (l Log) Logger(out io.Writer) *slog.Logger {
	var level slog.Level
	// Parse has validated the level; an unknown one would leave it at info.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, opts))
	}
	return slog.New(slog.NewTextHandler(out, opts))
}
