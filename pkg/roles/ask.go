package roles

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/demand"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// move is a change of one engine's role.
type move struct {
	from, to fleet.Role
}

// none is no change.
var none = move{}

// ask returns the change that a demand asks for beside the present roles. An
// engine loses its one role where the work for it falls short by more than the
// margin, and gets one where the work would fill it whole.
func ask(engines []*fleet.TargetState, d demand.Demand, knobs *config.RoleKnobs) move {
	have := countsOf(engines)
	if float64(have.Prefill) > d.Prefill/prefillGain+margin {
		return move{fleet.Prefill, fleet.Mixed}
	}
	if float64(have.Decode) > d.Decode/decodeGain+margin {
		return move{fleet.Decode, fleet.Mixed}
	}
	sure := demand.Demand{Prefill: d.Prefill - margin, Decode: d.Decode - margin}
	want := Want(sure, len(engines), knobs.MixedShare)
	if want.Prefill > have.Prefill && have.Prefill+have.Decode < want.Prefill+want.Decode {
		return move{fleet.Mixed, fleet.Prefill}
	}
	if want.Decode > have.Decode && have.Prefill+have.Decode < want.Prefill+want.Decode {
		return move{fleet.Mixed, fleet.Decode}
	}
	return none
}

// margin is the work, in engines, by which a role must be off before a change
// is asked for.
const margin = 0.25

// dwell is how long the demand must ask for a change: what the engine loses
// while it drains and changes is repaid in that time, and a need that has
// lasted so long is taken to last as long again.
func dwell(knobs *config.RoleKnobs) time.Duration {
	lost := knobs.ChangeSeconds + knobs.DrainSeconds
	return time.Duration(lost / knobs.Gain * float64(time.Second))
}

// countsOf counts the engines with one role.
func countsOf(engines []*fleet.TargetState) Counts {
	var have Counts
	for _, state := range engines {
		switch roleOf(state) {
		case fleet.Prefill:
			have.Prefill++
		case fleet.Decode:
			have.Decode++
		case fleet.Mixed:
		}
	}
	return have
}
