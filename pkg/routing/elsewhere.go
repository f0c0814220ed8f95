package routing

import (
	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// turnTokens is how many tokens of a prompt an engine computes before it
	// looks at what else waits.
	turnTokens = 2048
	// unseenWeight is the part of what an engine is known to owe that tells of
	// what daemons which tell nothing have there. The rest is the mean of the
	// engines of its kind: what few daemons send an engine says little of the
	// others, and the least of many such numbers is mostly luck.
	unseenWeight = 0.3
)

// outlook is what a router knows and expects of the prompts that engines owe.
type outlook struct {
	// known is what the daemon and those that tell it have outstanding, by the
	// engine's index in the snapshot.
	known []backlog.Outstanding
	// prompts and answers are the means over the engines that compute prompts
	// alone and over the others.
	prompts, answers backlog.Outstanding
	// unseen is how many daemons tell nothing for each one that does.
	unseen float64
}

// mean returns the mean over the engines of a role.
func (o *outlook) mean(role fleet.Role) *backlog.Outstanding {
	if role == fleet.Prefill {
		return &o.prompts
	}
	return &o.answers
}

// expected returns what an engine is expected to owe to all daemons.
func (o *outlook) expected(i int, role fleet.Role) (urgent, other float64) {
	known, mean := &o.known[i], o.mean(role)
	urgent = known.Urgent + o.unseen*(unseenWeight*known.Urgent+(1-unseenWeight)*mean.Urgent)
	other = known.Other + o.unseen*(unseenWeight*known.Other+(1-unseenWeight)*mean.Other)
	return urgent, other
}

// lookAround brings the outlook up to date.
func (r *ModelRouter) lookAround(snapshot *fleet.Snapshot, engines []int) {
	if r.opts.Elsewhere == nil {
		return
	}
	o := &r.outlook
	*o = outlook{known: o.known[:0], unseen: r.unseenDaemons()}
	for len(o.known) < len(snapshot.Targets) {
		o.known = append(o.known, backlog.Outstanding{})
	}
	prompts, answers := 0.0, 0.0
	for _, i := range engines {
		state, own := &snapshot.Targets[i], r.own(i)
		sum := r.opts.Elsewhere(state.Record.Target)
		sum.Urgent += own.urgent
		sum.Other += own.other
		o.known[i] = sum
		mean := o.mean(state.Load.Role)
		mean.Urgent += sum.Urgent
		mean.Other += sum.Other
		if state.Load.Role == fleet.Prefill {
			prompts++
		} else {
			answers++
		}
	}
	o.prompts.Urgent /= max(1, prompts)
	o.prompts.Other /= max(1, prompts)
	o.answers.Urgent /= max(1, answers)
	o.answers.Other /= max(1, answers)
}

// unseenDaemons returns how many daemons tell nothing for each one that does,
// this one included.
func (r *ModelRouter) unseenDaemons() float64 {
	if r.opts.Told == nil {
		return 0
	}
	others := float64(r.daemons - 1)
	told := others * r.opts.Told()
	return (others - told) / (1 + told)
}

// elsewhere replaces the backlog by what all daemons are expected to have
// outstanding at the engine, where they tell each other. Urgent requests wait
// for those like them, and for the turn of another that was begun.
func (e *estimate) elsewhere(r *ModelRouter, i int, state *fleet.TargetState, urgent bool) {
	if r.opts.Elsewhere == nil || state.Load.Sequence != 0 {
		return
	}
	first, rest := r.outlook.expected(i, state.Load.Role)
	if urgent {
		e.backlog = first + min(rest, turnTokens)
		return
	}
	e.backlog = first + rest
}
