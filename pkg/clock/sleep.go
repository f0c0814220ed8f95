package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends. It returns at once if d is not positive.
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
