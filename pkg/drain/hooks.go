package drain

import (
	"context"
	"sync"
)

// runHooks runs hooks concurrently and waits for all of them. A failed hook is
// only logged, because the stop must continue.
func (s *Server) runHooks(ctx context.Context, hooks []Hook) {
	ctx, cancel := context.WithTimeout(ctx, hookTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, hook := range hooks {
		wait.Go(func() {
			if err := hook.Run(ctx); err != nil {
				s.opts.Log.Error("shutdown hook failed", "hook", hook.Name, "error", err)
			}
		})
	}
	wait.Wait()
}
