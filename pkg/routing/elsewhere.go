package routing

import "amaranthplank.example/amaranthplank/pkg/fleet"

// turnTokens is how many tokens of a prompt an engine computes before it looks
// at what else waits.
const turnTokens = 2048

// elsewhere replaces the backlog by what all daemons have outstanding at the
// engine, where they tell each other. Urgent requests wait for those like them,
// and for the turn of another that was begun.
func (e *estimate) elsewhere(r *ModelRouter, state *fleet.TargetState, own *ledger, urgent bool) {
	if r.opts.Elsewhere == nil || state.Load.Sequence != 0 {
		return
	}
	others := r.opts.Elsewhere(state.Record.Target)
	first, rest := own.urgent+others.Urgent, own.other+others.Other
	if urgent {
		e.backlog = first + min(rest, turnTokens)
		return
	}
	e.backlog = first + rest
}
