package routing

import "amaranthplank.example/amaranthplank/pkg/ident"

// Checker is implemented by routers that can report whether a target that was
// chosen earlier still accepts new work.
type Checker interface {
	// TakesNew reports whether new work may be sent to the target now.
	TakesNew(target ident.Target) bool
}

var _ Checker = (*ByKind)(nil)

// TakesNew checks the target in the newest snapshot.
func (b *ByKind) TakesNew(target ident.Target) bool {
	opts := &b.Models.opts
	state := opts.View.Snapshot().Target(target)
	return state != nil && acceptsNewWork(state, opts.Knobs(), opts.Now())
}
