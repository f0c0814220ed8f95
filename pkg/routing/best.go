package routing

import (
	"math"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// task is the part of a request that an engine is selected for.
type task int

const (
	// taskFull is prefill and decode on one engine that does both.
	taskFull task = iota
	// taskPrefill is prefill on an engine that does only prefill.
	taskPrefill
	// taskDecode is decode after the prompt was computed by another engine.
	taskDecode
	// taskFullAnyRole is prefill and decode on one engine of any role.
	taskFullAnyRole
)

// taskLimits exclude engines from a task.
type taskLimits struct {
	// maxPromptTime is the longest time until the prompt is computed, waiting
	// included, in seconds.
	maxPromptTime float64
	// maxUncached is the largest number of uncached prompt tokens that an
	// engine computes while it also decodes, if there are prefill engines of its
	// software version.
	maxUncached float64
	// maxRecomputed is the largest number of uncached prompt tokens at any engine.
	maxRecomputed float64
	// version is the software version that the engine must have; nil allows any.
	version *ident.SoftwareVersion
}

// bestEngines returns the indexes in r.scores of the engines for prefill and
// for decode, which are equal if one engine does both. Both are negative if no
// engine can take the request in time.
func (r *ModelRouter) bestEngines(req *request.Request, constraints *Constraints, disaggregate bool) (prefill, decode int) {
	limits := taskLimits{
		maxPromptTime: r.maxPromptTime(req, constraints), maxUncached: math.Inf(1), maxRecomputed: maxRecomputed(constraints),
	}
	r.findPrefillVersions()
	p, d := -1, -1
	if disaggregate {
		p, d = r.cheapestPair(limits)
	}
	if disaggregate {
		limits.maxUncached = float64(r.opts.Knobs().MixedPromptLimit)
	}
	full := r.cheapest(taskFull, limits)
	if p < 0 || d < 0 {
		if full < 0 {
			full = r.fallback(req, limits)
		}
		return full, full
	}
	if prompt, answer := &r.scores[p], &r.scores[d]; prompt.wait+prompt.compute+answer.slotWait > limits.maxPromptTime {
		return full, full
	}
	knobs := r.opts.Knobs()
	moveTime := knobs.MoveSetup.D().Seconds() + float64(req.PromptTokens)/knobs.MoveRate
	splitCost := r.scores[p].prefill + moveTime + r.scores[d].decode
	if full < 0 || splitCost < r.scores[full].prefill+r.scores[full].decode {
		return p, d
	}
	return full, full
}

// findPrefillVersions sets r.prefillVersions to the software versions of the scored prefill
// engines, and marks the scores of the engines that have one of these versions.
func (r *ModelRouter) findPrefillVersions() {
	r.prefillVersions = r.prefillVersions[:0]
	for i := range r.scores {
		if s := &r.scores[i]; s.role == fleet.Prefill && !slices.Contains(r.prefillVersions, s.version) {
			r.prefillVersions = append(r.prefillVersions, s.version)
		}
	}
	for i := range r.scores {
		r.scores[i].hasPrefill = slices.Contains(r.prefillVersions, r.scores[i].version)
	}
}

// cheapestPair returns the indexes in r.scores of the engines for prefill and for decode
// with the lowest cost together. Both have one software version, since a version can't read
// the KV cache that another wrote.
func (r *ModelRouter) cheapestPair(limits taskLimits) (prefill, decode int) {
	prefill, decode = -1, -1
	best := math.Inf(1)
	for i := range r.prefillVersions {
		limits.version = &r.prefillVersions[i]
		p, d := r.cheapest(taskPrefill, limits), r.cheapest(taskDecode, limits)
		if p < 0 || d < 0 {
			continue
		}
		if cost := r.scores[p].prefill + r.scores[d].decode; cost < best {
			prefill, decode, best = p, d, cost
		}
	}
	return prefill, decode
}

// fallback returns the index in r.scores of the engine that runs the whole request
// whatever its role, or a negative number. It is needed while no engine takes whole
// requests, unless those that do have stated a pause or are absent.
func (r *ModelRouter) fallback(req *request.Request, limits taskLimits) int {
	if r.hasRole(fleet.Mixed) {
		return -1
	}
	if r.opts.PrefillTakesPromptsOnly || r.answersWithheld(req) != nil {
		return -1
	}
	return r.cheapest(taskFullAnyRole, limits)
}

// maxPromptTime returns the longest expected time until the prompt is computed,
// in seconds, at which a request is still placed: the longest wait plus the
// shortest compute time of any engine. It is at least req.FirstPart, so that a
// request which is expected to meet its objective is placed even if an engine
// with a long queue would compute the prompt much faster. A request that takes only
// spare room may wait for spareShare of that time.
func (r *ModelRouter) maxPromptTime(req *request.Request, constraints *Constraints) float64 {
	compute := r.minComputeTime()
	longest := max(r.maxWait(req)+compute, req.FirstPart.Seconds())
	if constraints.spareRoom() && longest > compute {
		return compute + spareShare*(longest-compute)
	}
	return longest
}

// spareShare is the share of the longest wait up to which an engine has spare room: the
// requests that come next, up to as many again, are still in time behind the one that
// takes it.
const spareShare = 0.5

// maxRecomputed returns the largest number of uncached prompt tokens at which an engine is
// considered. A request that takes only spare room goes to engines that compute its prompt
// between two others: a longer one would delay those in time, and a copy of its beginning
// would drive their prompts out.
func maxRecomputed(constraints *Constraints) float64 {
	if constraints.spareRoom() {
		return prefillChunkTokens
	}
	return math.Inf(1)
}

// leastUncached returns the smallest number of uncached prompt tokens at any scored engine.
func (r *ModelRouter) leastUncached() float64 {
	least := math.Inf(1)
	for i := range r.scores {
		least = min(least, r.scores[i].uncached)
	}
	return least
}

// maxWait returns the longest wait, in seconds, at which a request is still
// placed. It is infinite if the request or the knobs set no limit.
func (r *ModelRouter) maxWait(req *request.Request) float64 {
	share := r.opts.Knobs().Patience
	if share <= 0 || req.FirstPart <= 0 {
		return math.Inf(1)
	}
	return share * req.FirstPart.Seconds()
}

// minComputeTime returns the shortest time, in seconds, in which any scored
// engine computes the prompt, without waiting.
func (r *ModelRouter) minComputeTime() float64 {
	least := math.Inf(1)
	for i := range r.scores {
		least = min(least, r.scores[i].compute)
	}
	return least
}

// cost returns the engine's cost for a task, or false if the engine can't take
// it. The time limit covers waiting and computing together: the more of the
// prompt an engine has to compute, the shorter its wait must be.
func (s *score) cost(t task, limits taskLimits) (float64, bool) {
	if limits.version != nil && *limits.version != s.version {
		return 0, false
	}
	inTime := s.inTime(limits)
	switch t {
	case taskPrefill:
		return s.prefill, s.role == fleet.Prefill && inTime
	case taskDecode:
		return s.decode, s.role != fleet.Prefill
	case taskFull:
		return s.prefill + s.decode, s.role != fleet.Prefill && s.role != fleet.Decode && (s.uncached <= limits.maxUncached || !s.hasPrefill) && inTime
	case taskFullAnyRole:
		return s.prefill + s.decode, inTime
	}
	return 0, false
}

// inTime reports whether the engine would have computed the prompt by the time limit, and
// whether it holds enough of it.
func (s *score) inTime(limits taskLimits) bool {
	return s.wait+s.slotWait+s.compute <= limits.maxPromptTime && s.uncached <= limits.maxRecomputed
}

// answersWithheld returns the error if all of a model's engines that generate answers and
// could take the request have stated a pause or are absent, or nil. Those that only prefill
// take none of their work meanwhile.
func (r *ModelRouter) answersWithheld(req *request.Request) error {
	if r.scoresAnswers() {
		return nil
	}
	var engines []int
	for _, i := range r.lastSnapshot.Model(req.Model) {
		if r.lastSnapshot.Targets[i].Load.Role != fleet.Prefill {
			engines = append(engines, i)
		}
	}
	return r.opts.withheldError(r.lastSnapshot, engines, string(req.Model))
}

// scoresAnswers reports whether any scored engine generates answers.
func (r *ModelRouter) scoresAnswers() bool {
	return slices.ContainsFunc(r.scores, func(s score) bool { return s.role != fleet.Prefill })
}

// placementError returns why no engine can take the request: either all that could are
// paused or absent, or no engine accepts new work, or even the shortest expected
// prompt time is too long.
func (r *ModelRouter) placementError(req *request.Request, constraints *Constraints) error {
	if err := r.answersWithheld(req); err != nil {
		return err
	}
	shortest := r.shortestTime()
	if math.IsInf(shortest, 1) || (r.opts.PrefillTakesPromptsOnly && !r.scoresAnswers()) {
		return fault.New(fault.Unavailable, "no engine of the model accepts new requests",
			"send the request again after the time in Retry-After").WithRetryAfter(retryAfter)
	}
	excess := duration(shortest - r.maxPromptTime(req, constraints))
	refused := ErrNoRoom
	if r.leastUncached() > maxRecomputed(&Constraints{SpareRoom: true}) {
		refused = errPromptNoRoom
	}
	return refused.WithRetryAfter(min(maxRetryAfter, max(minRetryAfter, excess)))
}

// errPromptNoRoom refuses a request as ErrNoRoom does. Its prompt is too long for spare room.
var errPromptNoRoom = fault.New(fault.Unavailable, "the prompt would wait too long at every engine",
	"send the request again after the time in Retry-After")

// ErrNoRoom refuses a request that no engine is expected to begin in time for its objective,
// and that may wait for spare room. Its RetryAfter is the time by which the shortest wait is
// too long.
var ErrNoRoom = fault.New(fault.Unavailable, "the request would wait too long at every engine",
	"send the request again after the time in Retry-After")

// shortestTime returns the shortest expected time, in seconds, until an answer begins
// at one engine, or at one after another has computed the prompt. It is infinite if
// there are no engines.
func (r *ModelRouter) shortestTime() float64 {
	apart, slot, whole := math.Inf(1), math.Inf(1), math.Inf(1)
	for i := range r.scores {
		s := &r.scores[i]
		if s.role == fleet.Prefill {
			apart = min(apart, s.wait+s.compute)
			continue
		}
		slot = min(slot, s.slotWait)
		whole = min(whole, s.wait+s.slotWait+s.compute)
	}
	if math.IsInf(slot, 1) {
		return apart
	}
	return min(apart+slot, whole)
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request that
	// would wait too long.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = time.Second
)

// cheapest returns the index in r.scores of the engine with the lowest cost,
// drawn at random among near-equal costs, or a negative number if no engine
// qualifies.
func (r *ModelRouter) cheapest(t task, limits taskLimits) int {
	best, found := 0.0, -1
	for i := range r.scores {
		c, ok := r.scores[i].cost(t, limits)
		if ok && (found < 0 || c < best) {
			best, found = c, i
		}
	}
	if found < 0 || r.opts.Disabled.RandomTieBreak {
		return found
	}
	near := best + r.opts.Knobs().NearEqual.D().Seconds()
	equals := 0
	for i := range r.scores {
		c, ok := r.scores[i].cost(t, limits)
		if !ok || c > near {
			continue
		}
		equals++
		if r.opts.Random.IntN(equals) == 0 {
			found = i
		}
	}
	return found
}

// hasRole reports whether any scored engine has the role. Engines without a
// role count as mixed.
func (r *ModelRouter) hasRole(role fleet.Role) bool {
	for i := range r.scores {
		if r.scores[i].role == role || (role == fleet.Mixed && r.scores[i].role == "") {
			return true
		}
	}
	return false
}
