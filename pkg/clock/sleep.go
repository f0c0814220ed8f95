package clock

import (
	"context"
	"time"
)

// Sleep waits, or returns early when ctx ends. A time that is not above zero
// doesn't wait.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
