package drain

import (
	"context"
	"sync"
)

// runHooks runs hooks at once and waits for all. A failed hook is logged, since
// the stop goes on whatever it was.
func (s *Server) runHooks(ctx context.Context, hooks []Hook) {
	ctx, cancel := context.WithTimeout(ctx, hookTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, hook := range hooks {
		wait.Go(func() {
			if err := hook.Run(ctx); err != nil {
				s.opts.Log.Error("hook of the planned stop failed", "hook", hook.Name, "error", err)
			}
		})
	}
	wait.Wait()
}
