package clock

import (
	"context"
	"log/slog"
	"time"
)

const (
	// stepCheckInterval is the interval between checks of the wall clock.
	stepCheckInterval = time.Second
	// minReportedStep is the smallest step that is logged.
	minReportedStep = 200 * time.Millisecond
)

// WatchSteps logs steps of the wall clock until ctx ends. It compares the wall
// clock with a steady one. Only the timestamps of log lines depend on the wall
// clock.
func WatchSteps(ctx context.Context, steady Clock, log *slog.Logger) {
	watchSteps(ctx, steady, time.Now, log)
}

// watchSteps is WatchSteps with a given wall clock.
func watchSteps(ctx context.Context, steady Clock, wallClock func() time.Time, log *slog.Logger) {
	// UnixNano ignores the monotonic reading, so the offset changes with a step.
	offset := func() time.Duration { return time.Duration(wallClock().UnixNano()) - steady.Now() }
	last := offset()
	for ctx.Err() == nil {
		Sleep(ctx, stepCheckInterval)
		now := offset()
		if step := now - last; step.Abs() >= minReportedStep {
			log.Warn("time of day stepped", "by", step)
		}
		last = now
	}
}
