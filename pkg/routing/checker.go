package routing

import "amaranthplank.example/amaranthplank/pkg/ident"

// Checker is what a router implements that can tell whether a target which was
// chosen a while ago may still be sent new work.
type Checker interface {
	// TakesNew reports whether new work may go to the target now.
	TakesNew(target ident.Target) bool
}

var _ Checker = (*ByKind)(nil)

// TakesNew looks the target up in the newest view.
func (b *ByKind) TakesNew(target ident.Target) bool {
	opts := &b.Models.opts
	state := opts.View.Snapshot().Target(target)
	return state != nil && takesNew(state, opts.Knobs(), opts.Now())
}
