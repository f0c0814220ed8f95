package rolekeeper

import (
	"cmp"
	"math"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Engine is one engine as the choice sees it.
type Engine struct {
	Target ident.Target
	Domain ident.FailureDomain
	Role   fleet.Role
}

// Change is one engine's next role.
type Change struct {
	Target ident.Target
	Role   fleet.Role
}

// Want returns how many of a number of engines compute prompts alone for a
// share. A single engine does both, and of several at least one generates.
func Want(engines int, share float64) int {
	if engines < 2 || share <= 0 {
		return 0
	}
	return min(engines-1, max(1, int(math.Round(share*float64(engines)))))
}

// Choose returns the changes that bring the engines to the share. Engines that
// compute prompts are spread over the failure domains.
func Choose(engines []Engine, share float64) []Change {
	counts := make(map[ident.FailureDomain]int)
	have := 0
	for i := range engines {
		if engines[i].Role == fleet.Prefill {
			counts[engines[i].Domain]++
			have++
		}
	}
	role, step := fleet.Prefill, 1
	missing := Want(len(engines), share) - have
	if missing < 0 {
		role, step, missing = fleet.Mixed, -1, -missing
	}
	left := slices.Clone(engines)
	left = slices.DeleteFunc(left, func(e Engine) bool { return (e.Role == fleet.Prefill) == (role == fleet.Prefill) })
	var changes []Change
	for range min(missing, len(left)) {
		best := slices.MinFunc(left, func(a, b Engine) int {
			return cmp.Or(cmp.Compare(step*counts[a.Domain], step*counts[b.Domain]), cmp.Compare(a.Target, b.Target))
		})
		changes = append(changes, Change{Target: best.Target, Role: role})
		counts[best.Domain] += step
		left = slices.DeleteFunc(left, func(e Engine) bool { return e.Target == best.Target })
	}
	return changes
}
