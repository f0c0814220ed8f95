package settings

import (
	"io"
	"log/slog"
)

// Logger returns a logger of the set level and format that writes to out.
func (l Log) Logger(out io.Writer) *slog.Logger {
	var level slog.Level
	// The level was checked; an unknown one leaves info.
	_ = level.UnmarshalText([]byte(l.Level))
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, opts))
	}
	return slog.New(slog.NewTextHandler(out, opts))
}
