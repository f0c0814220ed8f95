package routing

import (
	"math"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// task is the part of a request that an engine is wanted for.
type task int

// The tasks.
const (
	// taskWhole is both parts, at an engine that does both.
	taskWhole task = iota
	// taskPrompt is the prompt, at an engine that does prompts alone.
	taskPrompt
	// taskAnswer is the answer to a prompt that was computed elsewhere.
	taskAnswer
	// taskAny is both parts at any engine, whatever its role.
	taskAny
)

// bounds bar engines from a task.
type bounds struct {
	// wait is the longest time until the prompt is computed, in seconds.
	wait float64
	// prompt is the longest prompt that is computed beside answers, in tokens.
	prompt float64
}

// best returns the scores' indexes of the engine for the prompt and of that
// for the answer, which are the same where one does both. Both are negative
// where no engine may take the request in time.
func (r *ModelRouter) best(req *request.Request, apart bool) (prefill, decode int) {
	limits := bounds{wait: r.longest(req), prompt: math.Inf(1)}
	p, d := -1, -1
	if apart {
		p, d = r.least(taskPrompt, limits), r.least(taskAnswer, limits)
	}
	if apart && r.has(fleet.Prefill) {
		limits.prompt = float64(r.opts.Knobs().MixedPromptLimit)
	}
	whole := r.least(taskWhole, limits)
	if p < 0 || d < 0 {
		if whole < 0 && !r.has(fleet.Mixed) {
			whole = r.least(taskAny, limits)
		}
		return whole, whole
	}
	knobs := r.opts.Knobs()
	move := knobs.MoveSetup.D().Seconds() + float64(req.PromptTokens)/knobs.MoveRate
	pair := r.scores[p].prefill + move + r.scores[d].decode
	if whole < 0 || pair < r.scores[whole].prefill+r.scores[whole].decode {
		return p, d
	}
	return whole, whole
}

// longest returns the longest time until its prompt is computed, in seconds, at
// which a request is still placed. One that is expected to be in time is placed
// also where the engine that holds the prompt would be quicker but for its queue.
func (r *ModelRouter) longest(req *request.Request) float64 {
	return max(r.patience(req)+r.leastOwn(), req.FirstPart.Seconds())
}

// patience returns the longest wait, in seconds, at which a request is still
// placed.
func (r *ModelRouter) patience(req *request.Request) float64 {
	share := r.opts.Knobs().Patience
	if share <= 0 || req.FirstPart <= 0 {
		return math.Inf(1)
	}
	return share * req.FirstPart.Seconds()
}

// leastOwn returns the time of the prompt at the engine that holds the most of
// it, in seconds.
func (r *ModelRouter) leastOwn() float64 {
	least := math.Inf(1)
	for i := range r.scores {
		least = min(least, r.scores[i].own)
	}
	return least
}

// cost returns what the engine costs for a task, or false where it may not do
// it. An engine that must compute more of the prompt than the best may make the
// request wait the less.
func (s *score) cost(t task, limits bounds) (float64, bool) {
	inTime := s.wait+s.slotWait+s.own <= limits.wait
	switch t {
	case taskPrompt:
		return s.prefill, s.role == fleet.Prefill && inTime
	case taskAnswer:
		return s.decode, s.role != fleet.Prefill
	case taskWhole:
		return s.prefill + s.decode, s.role != fleet.Prefill && s.role != fleet.Decode && s.uncached <= limits.prompt && inTime
	case taskAny:
		return s.prefill + s.decode, inTime
	}
	return 0, false
}

// refusal returns why no engine takes the request: there is none, or the
// shortest wait is too long.
func (r *ModelRouter) refusal(req *request.Request) error {
	shortest := math.Inf(1)
	for i := range r.scores {
		shortest = min(shortest, r.scores[i].wait+r.scores[i].slotWait+r.scores[i].own)
	}
	if math.IsInf(shortest, 1) {
		return fault.New(fault.Unavailable, "no engine takes new work for the model",
			"try again after the time in Retry-After").After(retryAfter)
	}
	over := duration(shortest - r.longest(req))
	return fault.New(fault.Unavailable, "the request would wait too long at every engine",
		"try again after the time in Retry-After").After(min(longestReturn, max(shortestReturn, over)))
}

const (
	// shortestReturn and longestReturn bound the time after which a request
	// that would wait too long may come back.
	shortestReturn = 150 * time.Millisecond
	longestReturn  = time.Second
)

// least returns the index of a score whose cost is the least, drawn among near
// equals, or a negative number where none counts.
func (r *ModelRouter) least(t task, limits bounds) int {
	best, found := 0.0, -1
	for i := range r.scores {
		c, ok := r.scores[i].cost(t, limits)
		if ok && (found < 0 || c < best) {
			best, found = c, i
		}
	}
	if found < 0 || r.opts.Off.Random {
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

// has reports whether an engine has the role. Engines without one are mixed.
func (r *ModelRouter) has(role fleet.Role) bool {
	for i := range r.scores {
		if r.scores[i].role == role || (role == fleet.Mixed && r.scores[i].role == "") {
			return true
		}
	}
	return false
}
