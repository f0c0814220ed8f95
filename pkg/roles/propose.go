package roles

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/demand"
	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// roleChange is a change of one engine's role.
type roleChange struct {
	from, to fleet.Role
}

// noChange means that the present roles fit the demand.
var noChange = roleChange{}

// proposeChange returns the next change that fits a demand, given the present
// roles. A single-role engine becomes mixed if its role has more engines than the
// demand fills, by more than the hysteresis. A mixed engine gets a single role if
// the demand, less the hysteresis, would fill one more engine completely.
func proposeChange(engines []*fleet.TargetState, d demand.Demand, knobs *config.RoleKnobs) roleChange {
	have := countsOf(engines)
	if float64(have.Prefill) > d.Prefill/prefillSpeedup+hysteresis {
		return roleChange{fleet.Prefill, fleet.Mixed}
	}
	if float64(have.Decode) > d.Decode/decodeSpeedup+hysteresis {
		return roleChange{fleet.Decode, fleet.Mixed}
	}
	discounted := demand.Demand{Prefill: d.Prefill - hysteresis, Decode: d.Decode - hysteresis}
	desired := DesiredCounts(discounted, len(engines), knobs.MixedShare)
	if desired.Prefill > have.Prefill && have.Prefill+have.Decode < desired.Prefill+desired.Decode {
		return roleChange{fleet.Mixed, fleet.Prefill}
	}
	if desired.Decode > have.Decode && have.Prefill+have.Decode < desired.Prefill+desired.Decode {
		return roleChange{fleet.Mixed, fleet.Decode}
	}
	return noChange
}

// hysteresis is how far, in engines, the count of a role must differ from the
// demand before a change is proposed.
const hysteresis = 0.25

// dwellTime returns how long the same change must have been proposed before it is
// ordered. It is the time in which the gain from the new role makes up for what
// the engine loses while it drains and changes. A demand that has lasted so long
// is assumed to last as long again.
func dwellTime(knobs *config.RoleKnobs) time.Duration {
	lost := knobs.ChangeSeconds + knobs.DrainSeconds
	return time.Duration(lost / knobs.Gain * float64(time.Second))
}

// countsOf counts the engines that have a single role.
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
