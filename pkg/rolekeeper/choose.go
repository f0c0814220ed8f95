package rolekeeper

import (
	"cmp"
	"math"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Engine is the part of an engine's state that ChooseChanges needs.
type Engine struct {
	Target ident.Target
	Domain ident.FailureDomain
	Role   fleet.Role
	// Changing is set if the engine was ordered to take on Role and that is not
	// observed yet.
	Changing bool
}

// Change is a role change of one engine.
type Change struct {
	Target ident.Target
	Role   fleet.Role
}

// DesiredPrefill returns how many of the engines must have the prefill role for a
// share. A single engine stays mixed. If there are several, at least one does not
// have the prefill role, and if share is positive, at least one has it.
func DesiredPrefill(engines int, share float64) int {
	if engines < 2 || share <= 0 {
		return 0
	}
	return min(engines-1, max(1, int(math.Round(share*float64(engines)))))
}

// ChooseChanges returns the changes that bring the engines to the share. It spreads
// the prefill engines over the failure domains. Engines that are changing are not
// chosen: daemons exclude an engine until they see its next role, so that a second
// order would leave it open to requests while it carries that order out.
func ChooseChanges(engines []Engine, share float64) []Change {
	counts := make(map[ident.FailureDomain]int)
	have := 0
	for i := range engines {
		if engines[i].Role == fleet.Prefill {
			counts[engines[i].Domain]++
			have++
		}
	}
	role, step := fleet.Prefill, 1
	missing := DesiredPrefill(len(engines), share) - have
	if missing < 0 {
		role, step, missing = fleet.Mixed, -1, -missing
	}
	candidates := slices.Clone(engines)
	candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return e.Changing || (e.Role == fleet.Prefill) == (role == fleet.Prefill) })
	var changes []Change
	for range min(missing, len(candidates)) {
		best := slices.MinFunc(candidates, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(step*counts[a.Domain], step*counts[b.Domain]), cmp.Compare(a.Target, b.Target))
		})
		changes = append(changes, Change{Target: best.Target, Role: role})
		counts[best.Domain] += step
		candidates = slices.DeleteFunc(candidates, func(e Engine) bool { return e.Target == best.Target })
	}
	return changes
}
