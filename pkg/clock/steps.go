package clock

import (
	"context"
	"log/slog"
	"time"
)

const (
	// stepLook is the time between looks at the time of day.
	stepLook = time.Second
	// leastStep is the least step that is told.
	leastStep = 200 * time.Millisecond
)

// WatchSteps tells when the time of day steps, until ctx ends. Nothing goes by
// the time of day but the log's own stamps.
func WatchSteps(ctx context.Context, steady Clock, log *slog.Logger) {
	watchSteps(ctx, steady, time.Now, log)
}

// watchSteps tells the steps of a given time of day.
func watchSteps(ctx context.Context, steady Clock, timeOfDay func() time.Time, log *slog.Logger) {
	// Without its monotonic part a time follows the steps.
	offset := func() time.Duration { return time.Duration(timeOfDay().UnixNano()) - steady.Now() }
	known := offset()
	for ctx.Err() == nil {
		Sleep(ctx, stepLook)
		now := offset()
		if step := now - known; step.Abs() >= leastStep {
			log.Warn("time of day stepped", "by", step)
		}
		known = now
	}
}
