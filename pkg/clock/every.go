package clock

import (
	"context"
	"time"
)

// Every calls do at once and then every d, until ctx ends or do returns an error,
// which Every returns. A call that takes longer than d delays the next.
func Every(ctx context.Context, d time.Duration, do func() error) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		if err := do(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
