package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// refusalsOfAbsent is the number of refused connections or misdirected requests,
	// without another response in between, after which a target is absent.
	refusalsOfAbsent = 2
	// firstProbePause and lastProbePause bound the pause before a probe. Each probe that
	// fails multiplies the pause by probePauseGrowth.
	firstProbePause  = 100 * time.Millisecond
	lastProbePause   = 800 * time.Millisecond
	probePauseGrowth = 1.5
	// turnDelay is how much longer each daemon waits before a probe than the one before it,
	// so that the other's result has arrived. maxTurn bounds it.
	turnDelay = 60 * time.Millisecond
	maxTurn   = 3 * time.Second
	// pauseJitter is the largest part by which a pause or a Retry-After is lengthened or
	// shortened at random.
	pauseJitter = 0.25
	// identityWait is how long after an accepted probe no request is sent yet. The
	// process at the address may be another, whose entry is read from the store within
	// that time.
	identityWait = time.Second
	// departedRetention is how long an absence is remembered after its beginning if the
	// view no longer has the target.
	departedRetention = 10 * time.Second
	// replacedRetention is how long a replaced target is absent without probes. Its
	// entry is removed from the store meanwhile.
	replacedRetention = 5 * time.Second
)

// absence is what this daemon knows about one incarnation of a target that refused
// connections or was replaced.
type absence struct {
	target      ident.Target
	incarnation ident.Incarnation
	// address and serves are those of the target; serves is its model or service, and
	// engine reports whether that is a model, and prompts whether it takes prompts only.
	address, serves string
	engine, prompts bool
	// departed is set once the view no longer has the target. It is then expected back as
	// another target at its address.
	departed bool
	// refusals counts the refused connections and misdirected requests since the last
	// other response.
	refusals int
	// since is when the target became absent, or zero if it is not.
	since time.Time
	// replaced is set if another process has the target's address, succeeded once the
	// view has that process.
	replaced, succeeded bool
	// probePause is the next pause before a probe, which is due at probeAt. probing is
	// set during a probe.
	probePause time.Duration
	probeAt    time.Time
	probing    bool
	// returnsAt is when a target that accepted a probe gets requests again, or zero.
	returnsAt time.Time
	// returned is set once it does, until a response.
	returned bool
}

// absent reports whether nothing may be sent to the target at the given time.
func (a *absence) absent(now time.Time) bool {
	return !a.since.IsZero() && (a.returnsAt.IsZero() || now.Before(a.returnsAt))
}

// refused records a refused connection, and reports whether the target's absence begins
// with it. After a return without a response, a single one continues the absence.
func (a *absence) refused(now time.Time, draw float64, turn time.Duration) bool {
	a.refusals++
	if a.absent(now) || (a.refusals < refusalsOfAbsent && !a.returned) {
		return false
	}
	began := a.begin(now)
	a.scheduleProbe(now, draw, turn)
	return began
}

// misdirected records that the process at the address refused a request for the target,
// and reports whether the target's absence begins with it. For an engine that has not
// refused a connection before, the cause may be its role instead.
func (a *absence) misdirected(now time.Time) bool {
	if a.engine && a.refusals == 0 && a.since.IsZero() {
		return false
	}
	a.refusals++
	if a.replaced || (a.refusals < refusalsOfAbsent && a.since.IsZero()) {
		return false
	}
	began := a.begin(now)
	a.markReplaced(now)
	return began
}

// refutedBy reports whether the target's state in the view ends the absence: it has been
// started again, or its role has changed, which is why it refused requests.
func (a *absence) refutedBy(state *fleet.TargetState) bool {
	return state.Incarnation > a.incarnation || (a.replaced && a.prompts != takesPrompts(state))
}

// takesPrompts reports whether a target is an engine that takes prompts only.
func takesPrompts(state *fleet.TargetState) bool { return state.Load.Role == fleet.Prefill }

// begin starts the absence, or continues it if the target returned without a response.
// It reports whether it started.
func (a *absence) begin(now time.Time) bool {
	began := a.since.IsZero()
	if began {
		a.since = now
	}
	a.returnsAt, a.returned, a.replaced = time.Time{}, false, false
	return began
}

// markReplaced ends the probes.
func (a *absence) markReplaced(now time.Time) {
	a.replaced, a.returnsAt = true, time.Time{}
	a.probeAt = now.Add(replacedRetention)
}

// scheduleProbe sets the time of the next probe; draw is from 0 to 1. The daemon's turn is
// added, within which another daemon's result may make the probe needless.
func (a *absence) scheduleProbe(now time.Time, draw float64, turn time.Duration) {
	a.probePause = max(firstProbePause, a.probePause)
	a.probeAt = now.Add(jittered(a.probePause, draw) + turn)
	a.probePause = min(lastProbePause, time.Duration(float64(a.probePause)*probePauseGrowth))
}

// probedElsewhere records the result of another daemon's probe.
func (a *absence) probedElsewhere(accepted bool, now time.Time, draw float64, turn time.Duration) {
	switch {
	case a.since.IsZero() || !a.returnsAt.IsZero() || a.replaced:
	case accepted:
		a.returnsAt = now.Add(identityWait)
	case !a.probing:
		a.scheduleProbe(now, draw, turn)
	}
}

// probeDue reports whether the target is to be probed at the given time.
func (a *absence) probeDue(now time.Time) bool {
	return !a.since.IsZero() && a.returnsAt.IsZero() && !a.probing && !a.departed && !now.Before(a.probeAt)
}

// nextEvent returns the time of the next probe, or until which a departed target is
// remembered, or false if there is none.
func (a *absence) nextEvent() (time.Time, bool) {
	if a.departed {
		return a.since.Add(departedRetention), true
	}
	return a.probeAt, !a.since.IsZero() && !a.probing && a.returnsAt.IsZero()
}

// forgotten reports whether a target that the view no longer has need not be remembered.
func (a *absence) forgotten(now time.Time) bool {
	return a.since.IsZero() || a.succeeded || now.Sub(a.since) >= departedRetention
}

// probed records the end of a probe. isolated is set if this daemon seems to be cut off:
// its targets are the same as before then, and it does not wait long for them.
func (a *absence) probed(accepted, isolated bool, now time.Time, draw float64, turn time.Duration) {
	a.probing = false
	switch {
	case a.since.IsZero() || !a.returnsAt.IsZero():
	case accepted && isolated:
		a.returnsAt = now
	case accepted:
		a.returnsAt = now.Add(identityWait)
	default:
		if isolated {
			a.probePause = firstProbePause
		}
		a.replaced = false
		a.scheduleProbe(now, draw, turn)
	}
}

// jittered returns the duration lengthened or shortened by up to pauseJitter; draw is
// from 0 to 1.
func jittered(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 + pauseJitter*(2*draw-1)))
}

const (
	// initialAway is how long targets are expected to be away before one has returned.
	initialAway = 2 * time.Second
	// awayWeight is the weight of the newest absence in the expected one.
	awayWeight = 0.3
	// minReturnWait and maxReturnWait bound the Retry-After while targets are absent.
	minReturnWait = 200 * time.Millisecond
	maxReturnWait = 2 * time.Second
	// overdueShare is the part of its absence that a target which is away for longer than
	// expected is expected to be away further.
	overdueShare = 0.25
)

// expectedWait returns how long the target is expected to be absent further, if targets
// like it were absent for typical.
func (a *absence) expectedWait(now time.Time, typical time.Duration) time.Duration {
	if !a.returnsAt.IsZero() {
		return min(maxReturnWait, max(minReturnWait, a.returnsAt.Sub(now)))
	}
	elapsed := now.Sub(a.since)
	wait := typical - elapsed
	if overdue := time.Duration(overdueShare * float64(elapsed)); wait < overdue {
		wait = overdue
	}
	return min(maxReturnWait, max(minReturnWait, wait))
}
