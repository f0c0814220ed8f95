package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// defaultSlots is the number of slots assumed for an engine that reports
	// none.
	defaultSlots = 16
	// decodeInterference is the share by which a full decode batch lowers an
	// engine's prefill rate, and by which a prefill backlog of at least one
	// second lengthens decode.
	decodeInterference = 0.5
)

// estimate is the expected state of one engine now. Rates are in tokens per
// second.
type estimate struct {
	prefillRate float64
	decodeRate  float64
	slots       float64
	// occupied counts the running and waiting requests, from the last report
	// and the daemon's own sends and ends since.
	occupied float64
	// decoding counts the requests that decode while prompts are computed.
	decoding float64
	// backlog is the number of prompt tokens that are still to be computed.
	backlog float64
}

// estimateEngine estimates an engine's state at now from its last report, or
// from the load that came with its answers, and from the daemon's own sends
// since.
//
// The requests that other daemons have sent since a report are unknown. Once
// the report is as old as UnseenAge, each of them is assumed to have sent as
// many as this daemon, and proportionally fewer before: right after a report
// such a correction would be mostly noise. It applies to the number of requests
// only, not to the backlog.
func estimateEngine(state *fleet.TargetState, tracker *targetTracker, daemons int, knobs *config.RoutingKnobs, now time.Time) estimate {
	load := &state.Load
	e := estimate{prefillRate: load.PrefillRate, decodeRate: load.DecodeRate, slots: float64(load.Slots)}
	if load.Sequence == 0 || e.prefillRate <= 0 || e.decodeRate <= 0 || e.slots <= 0 {
		e = estimate{prefillRate: knobs.PrefillRate, decodeRate: knobs.DecodeRate, slots: slotsOf(state)}
		if load.Role != fleet.Prefill {
			e.prefillRate *= knobs.MixedPrefillShare
		}
		e.prefillRate /= tracker.assumedSlowness()
		if tracker.decodeSlowness != nil {
			e.decodeRate /= tracker.decodeSlowness.valueOr(1)
		}
	}
	switch {
	case tracker.answerLoadAt.After(state.LoadAt):
		e.useAnswerLoad(tracker, now)
	case load.Sequence == 0 || now.Sub(state.LoadAt) > knobs.ReportMaxAge.D():
		e.occupied = float64(tracker.outstanding)
		e.backlog = tracker.backlog(0, e.prefillRate, 1, now, now)
	default:
		e.useReport(state, tracker, daemons, knobs, now)
	}
	if load.Role != fleet.Prefill {
		e.decoding = e.occupied
	}
	return e
}

// slotsOf returns the number of an engine's slots, or defaultSlots if it reports
// none.
func slotsOf(state *fleet.TargetState) float64 {
	if state.Load.Slots <= 0 {
		return defaultSlots
	}
	return float64(state.Load.Slots)
}

// useAnswerLoad takes the number of requests from the load that came with the
// engine's answers, and the backlog from the daemon's own pending prompts.
func (e *estimate) useAnswerLoad(tracker *targetTracker, now time.Time) {
	e.occupied = tracker.currentRequests(now)
	e.backlog = tracker.urgentTokens + tracker.otherTokens
}

// useReport takes the load from the engine's last report, corrected by the
// requests sent since.
func (e *estimate) useReport(state *fleet.TargetState, tracker *targetTracker, daemons int, knobs *config.RoutingKnobs, now time.Time) {
	load := &state.Load
	at := takenAt(load, state.LoadAt)
	ageShare := min(1, max(0, now.Sub(at).Seconds()/knobs.UnseenAge.D().Seconds()))
	factor := 1 + float64(daemons-1)*ageShare
	e.occupied = max(0, float64(load.Running+load.Queued)+factor*float64(len(tracker.unreportedSends)-tracker.unreportedEnds))
	e.backlog = tracker.backlog(float64(load.PrefillTokens), e.effectivePrefillRate(float64(load.Running)), 1, at, now)
}

// takenAt returns the time at which a report's figures were taken. It is the
// report's arrival if the report has no time, or one after the arrival because
// the target's clock is ahead.
func takenAt(load *fleet.LoadReport, arrived time.Time) time.Time {
	if load.TakenAt.IsZero() || load.TakenAt.After(arrived) {
		return arrived
	}
	return load.TakenAt
}

// effectivePrefillRate returns the prefill rate while a number of requests
// decode.
func (e *estimate) effectivePrefillRate(decoding float64) float64 {
	return e.prefillRate * (1 - decodeInterference*min(1, decoding/e.slots))
}

// prefill returns the seconds that a prompt with the given number of uncached
// tokens waits, and the seconds that its computation then takes.
func (e *estimate) prefill(uncached float64) (wait, compute float64) {
	rate := e.effectivePrefillRate(e.decoding)
	return e.backlog / rate, uncached / rate
}

// decode returns the seconds that a request waits for a slot, and the seconds
// that its output then takes. An urgent one gets the next slot that becomes free.
func (e *estimate) decode(output float64, urgent bool) (wait, generate float64) {
	generate = output / e.decodeRate
	over := max(0, e.occupied+1-e.slots)
	if urgent {
		over = min(1, over)
	}
	wait = over * generate / e.slots
	busy := min(1, e.backlog/e.prefillRate)
	return wait, generate * (1 + decodeInterference*busy)
}

// crowding returns the square of the share of slots in use, at most one.
func (e *estimate) crowding() float64 {
	occupancy := min(1, e.occupied/e.slots)
	return occupancy * occupancy
}

// acceptsNewWork reports whether new work may be sent to a target.
func acceptsNewWork(state *fleet.TargetState, knobs *config.RoutingKnobs, now time.Time) bool {
	if state.Draining || state.Record.Leaving || !state.UsableUntil.IsZero() && !now.Before(state.UsableUntil) {
		return false
	}
	return state.SeenAt.IsZero() || now.Sub(state.SeenAt) <= knobs.ViewMaxAge.D()
}

// reclaimable reports whether the platform may reclaim the target.
func reclaimable(state *fleet.TargetState) bool {
	return state.Record.Kind == external.Reclaimable
}
