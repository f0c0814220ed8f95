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

// expected returns what all daemons together are expected to have outstanding at an
// engine.
func (b *fleetBacklog) expected(i int, role fleet.Role) backlog.Outstanding {
	known, mean := &b.known[i], b.mean(role)
	return backlog.Outstanding{
		Urgent:   b.withUnreported(known.Urgent, mean.Urgent),
		Other:    b.withUnreported(known.Other, mean.Other),
		Requests: b.withUnreported(known.Requests, mean.Requests),
	}
}

// withUnreported adds to a known sum what the daemons that don't report are expected
// to have. mean is the mean of the known sums over the engines of the group.
func (b *fleetBacklog) withUnreported(known, mean float64) float64 {
	return known + b.unreportedRatio*(knownBacklogWeight*known+(1-knownBacklogWeight)*mean)
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
		own := tracker.sums(state.Record.Target)
		addSums(&sum, &own)
		b.known[i] = sum
		addSums(b.mean(state.Load.Role), &sum)
		if state.Load.Role == fleet.Prefill {
			prefillEngines++
		} else {
			otherEngines++
		}
	}
	divideSums(&b.prefillMean, max(1, prefillEngines))
	divideSums(&b.otherMean, max(1, otherEngines))
}

// addSums adds sums to a total.
func addSums(total, sums *backlog.Outstanding) {
	total.Urgent += sums.Urgent
	total.Other += sums.Other
	total.Requests += sums.Requests
}

// divideSums divides sums by a number.
func divideSums(sums *backlog.Outstanding, by float64) {
	sums.Urgent /= by
	sums.Other /= by
	sums.Requests /= by
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

// useFleetBacklog replaces the backlog and, if most daemons report, the number of
// requests with what all daemons are expected to have at the engine. It applies if
// daemons report to each other and the engine sends no load reports. Urgent requests
// wait for other urgent ones, and for at most one chunk of another prompt that has
// already been started.
func (e *estimate) useFleetBacklog(r *ModelRouter, i int, state *fleet.TargetState, urgent bool) {
	if r.opts.PeerBacklog == nil || state.Load.Sequence != 0 {
		return
	}
	sums := r.fleetBacklog.expected(i, state.Load.Role)
	if r.fleetBacklog.unreportedRatio <= maxUnreportedRatio {
		e.occupied = sums.Requests
		if state.Load.Role != fleet.Prefill {
			e.decoding = e.occupied
		}
	}
	if urgent {
		e.backlog = sums.Urgent + min(sums.Other, prefillChunkTokens)
		return
	}
	e.backlog = sums.Urgent + sums.Other
}

// maxUnreportedRatio is the largest number of daemons that don't report, for each
// daemon whose requests are known, at which the number of requests is taken from the
// reports rather than from the engine's last answers.
const maxUnreportedRatio = 1
