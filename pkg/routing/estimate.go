package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

const (
	// defaultSlots is the count of slots that is taken for an engine that
	// tells none.
	defaultSlots = 16
	// decodeInterference is the part of an engine that a full batch of
	// decoding takes from prefill, and prefill from decoding.
	decodeInterference = 0.5
)

// estimate is what is expected of one engine now, in seconds and requests.
type estimate struct {
	prefillRate float64
	decodeRate  float64
	slots       float64
	// occupied counts requests that run or wait, by the last report and the
	// daemon's own sends and ends since.
	occupied float64
	// decoding counts the answers that are generated beside prompts.
	decoding float64
	// backlog is the prompt tokens that are still to be computed.
	backlog float64
}

// estimateOf reckons an engine's state at now from its last report, or from what
// it told with its answers, and the daemon's own sends since.
//
// The sends of the other daemons since the report can't be seen. They are
// reckoned at a number for each send of this daemon's own that rises with the
// report's age: with a fresh report it would be noise.
func estimateOf(state *fleet.TargetState, own *ledger, daemons int, knobs *config.RoutingKnobs, now time.Time) estimate {
	load := &state.Load
	e := estimate{prefillRate: load.PrefillRate, decodeRate: load.DecodeRate, slots: float64(load.Slots)}
	if load.Sequence == 0 || e.prefillRate <= 0 || e.decodeRate <= 0 || e.slots <= 0 {
		e = estimate{prefillRate: knobs.PrefillRate, decodeRate: knobs.DecodeRate, slots: max(float64(load.Slots), defaultSlots)}
		if load.Role != fleet.Prefill {
			e.prefillRate *= knobs.MixedPrefillShare
		}
		e.prefillRate /= own.assumedSlowness()
	}
	switch {
	case own.loadAt.After(state.LoadAt):
		e.byAnswers(own, now)
	case load.Sequence == 0 || now.Sub(state.LoadAt) > knobs.ReportMaxAge.D():
		e.occupied = float64(own.outstanding)
		e.backlog = own.backlog(0, e.prefillRate, 1, now, now)
	default:
		e.byReport(state, own, daemons, knobs, now)
	}
	if load.Role != fleet.Prefill {
		e.decoding = e.occupied
	}
	return e
}

// byAnswers takes the load from what the engine told with its answers.
func (e *estimate) byAnswers(own *ledger, now time.Time) {
	e.occupied = own.present(now)
	e.backlog = own.urgent + own.other
}

// byReport takes the load from the engine's last report.
func (e *estimate) byReport(state *fleet.TargetState, own *ledger, daemons int, knobs *config.RoutingKnobs, now time.Time) {
	load := &state.Load
	at := takenAt(load, state.LoadAt)
	known := min(1, max(0, now.Sub(at).Seconds()/knobs.UnseenAge.D().Seconds()))
	factor := 1 + float64(daemons-1)*known
	e.occupied = max(0, float64(load.Running+load.Queued)+factor*float64(len(own.sends)-own.ended))
	e.backlog = own.backlog(float64(load.PrefillTokens), e.effectivePrefill(float64(load.Running)), 1, at, now)
}

// takenAt returns when a report's figures held. A target's clock that is ahead
// of the report's arrival isn't believed.
func takenAt(load *fleet.LoadReport, arrived time.Time) time.Time {
	if load.TakenAt.IsZero() || load.TakenAt.After(arrived) {
		return arrived
	}
	return load.TakenAt
}

// effectivePrefill is the prefill rate beside a number of decoding requests.
func (e *estimate) effectivePrefill(decoding float64) float64 {
	return e.prefillRate * (1 - decodeInterference*min(1, decoding/e.slots))
}

// prefill returns the seconds until a prompt of so many uncached tokens is
// computed: the part spent waiting and the part spent on the prompt itself.
func (e *estimate) prefill(uncached float64) (wait, own float64) {
	rate := e.effectivePrefill(e.decoding)
	return e.backlog / rate, uncached / rate
}

// decode returns the seconds that a request waits for a slot, and those that
// its output then takes.
func (e *estimate) decode(output float64) (wait, own float64) {
	own = output / e.decodeRate
	if over := e.occupied + 1 - e.slots; over > 0 {
		wait = over * own / e.slots
	}
	busy := min(1, e.backlog/e.prefillRate)
	return wait, own * (1 + decodeInterference*busy)
}

// crowd is the square of the share of the slots that are taken, at most one.
func (e *estimate) crowd() float64 {
	fill := min(1, e.occupied/e.slots)
	return fill * fill
}

// takesNew reports whether new work may go to a target.
func takesNew(state *fleet.TargetState, knobs *config.RoutingKnobs, now time.Time) bool {
	if state.Draining || state.Record.Leaving {
		return false
	}
	return state.SeenAt.IsZero() || now.Sub(state.SeenAt) <= knobs.ViewMaxAge.D()
}

// reclaimable reports whether the platform may take the target back.
func reclaimable(state *fleet.TargetState) bool {
	return state.Record.Kind == external.Reclaimable
}
