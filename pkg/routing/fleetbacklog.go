package routing

import (
	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// prefillChunkTokens is the number of prompt tokens that an engine computes
	// before it considers other waiting prompts.
	prefillChunkTokens = 2048
	// knownBacklogWeight is the weight of an engine's known backlog in the
	// estimate of its backlog from daemons that don't report. The rest is the
	// mean over the engines of its group: the prompts that a few daemons have at
	// one engine are a poor estimate of those of the other daemons, and which
	// engine has the lowest of many such estimates is mostly chance.
	knownBacklogWeight = 0.3
)

// fleetBacklog is the known and the expected prompt backlog of the engines.
type fleetBacklog struct {
	// known is what this daemon and those that report to it have outstanding,
	// by the engine's index in the snapshot.
	known []backlog.Outstanding
	// prefillMean and otherMean are the means over the prefill engines and over
	// all other engines.
	prefillMean, otherMean backlog.Outstanding
	// unreportedRatio is the number of daemons that don't report to this one,
	// for each daemon whose backlog is known.
	unreportedRatio float64
}

// mean returns the mean over the engines of a role's group: the prefill engines
// or all others.
func (b *fleetBacklog) mean(role fleet.Role) *backlog.Outstanding {
	if role == fleet.Prefill {
		return &b.prefillMean
	}
	return &b.otherMean
}

// expected returns the prompt tokens that all daemons together are expected to
// have outstanding at an engine.
func (b *fleetBacklog) expected(i int, role fleet.Role) (urgent, other float64) {
	known, mean := &b.known[i], b.mean(role)
	urgent = known.Urgent + b.unreportedRatio*(knownBacklogWeight*known.Urgent+(1-knownBacklogWeight)*mean.Urgent)
	other = known.Other + b.unreportedRatio*(knownBacklogWeight*known.Other+(1-knownBacklogWeight)*mean.Other)
	return urgent, other
}

// updateFleetBacklog recomputes the fleet backlog if other daemons report
// theirs.
func (r *ModelRouter) updateFleetBacklog(snapshot *fleet.Snapshot, engines []int) {
	if r.opts.PeerBacklog == nil {
		return
	}
	b := &r.fleetBacklog
	*b = fleetBacklog{known: b.known[:0], unreportedRatio: r.unreportedRatio()}
	for len(b.known) < len(snapshot.Targets) {
		b.known = append(b.known, backlog.Outstanding{})
	}
	prefillEngines, otherEngines := 0.0, 0.0
	for _, i := range engines {
		state, tracker := &snapshot.Targets[i], r.trackerAt(i)
		sum := r.opts.PeerBacklog(state.Record.Target)
		sum.Urgent += tracker.urgentTokens
		sum.Other += tracker.otherTokens
		b.known[i] = sum
		mean := b.mean(state.Load.Role)
		mean.Urgent += sum.Urgent
		mean.Other += sum.Other
		if state.Load.Role == fleet.Prefill {
			prefillEngines++
		} else {
			otherEngines++
		}
	}
	b.prefillMean.Urgent /= max(1, prefillEngines)
	b.prefillMean.Other /= max(1, prefillEngines)
	b.otherMean.Urgent /= max(1, otherEngines)
	b.otherMean.Other /= max(1, otherEngines)
}

// unreportedRatio returns the number of daemons that don't report to this one,
// for each daemon whose backlog is known, this one included.
func (r *ModelRouter) unreportedRatio() float64 {
	if r.opts.ReportingShare == nil {
		return 0
	}
	others := float64(r.daemons - 1)
	reporting := others * r.opts.ReportingShare()
	return (others - reporting) / (1 + reporting)
}

// useFleetBacklog replaces the backlog with the expected backlog of all daemons
// at the engine. It applies if daemons report to each other and the engine
// sends no load reports. Urgent requests wait for other urgent ones, and for at
// most one chunk of another prompt that has already been started.
func (e *estimate) useFleetBacklog(r *ModelRouter, i int, state *fleet.TargetState, urgent bool) {
	if r.opts.PeerBacklog == nil || state.Load.Sequence != 0 {
		return
	}
	urgentTokens, otherTokens := r.fleetBacklog.expected(i, state.Load.Role)
	if urgent {
		e.backlog = urgentTokens + min(otherTokens, prefillChunkTokens)
		return
	}
	e.backlog = urgentTokens + otherTokens
}
