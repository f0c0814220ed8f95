package routing

import "amaranthplank.example/amaranthplank/pkg/ident"

// AvailabilityChecker is implemented by routers that can report whether a
// target that was chosen earlier still accepts new work.
type AvailabilityChecker interface {
	// AcceptsNewWork reports whether new work may be sent to the target now.
	AcceptsNewWork(target ident.Target) bool
}

var _ AvailabilityChecker = (*CombinedRouter)(nil)

// AcceptsNewWork checks the target in the newest snapshot.
func (c *CombinedRouter) AcceptsNewWork(target ident.Target) bool {
	opts := &c.Models.opts
	state := opts.View.Snapshot().Target(target)
	return state != nil && opts.acceptsNewWork(state, opts.Knobs(), opts.Now())
}
