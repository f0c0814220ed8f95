package routing

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// best returns the scores' indexes of the engine for the prompt and of that
// for the answer, which are the same where one does both. Both are negative
// where no engine may take the request.
func (r *ModelRouter) best(req *request.Request, apart bool) (prefill, decode int) {
	whole := r.least(wholeCost)
	if !apart {
		if whole < 0 {
			whole = r.least(anyCost)
		}
		return whole, whole
	}
	p, d := r.least(prefillCost), r.least(decodeCost)
	if p < 0 || d < 0 {
		return whole, whole
	}
	move := float64(req.PromptTokens) / r.opts.Knobs().MoveRate
	pair := r.scores[p].prefill + move + r.scores[d].decode
	if whole < 0 || pair < r.scores[whole].prefill+r.scores[whole].decode {
		return p, d
	}
	return whole, whole
}

// least returns the index of a score whose cost is the least, drawn among near
// equals, or a negative number where none counts.
func (r *ModelRouter) least(cost func(*score) (float64, bool)) int {
	best, found := 0.0, -1
	for i := range r.scores {
		c, ok := cost(&r.scores[i])
		if ok && (found < 0 || c < best) {
			best, found = c, i
		}
	}
	if found < 0 || r.opts.Off.Random {
		return found
	}
	limit := best + r.opts.Knobs().NearEqual.D().Seconds()
	equals := 0
	for i := range r.scores {
		c, ok := cost(&r.scores[i])
		if !ok || c > limit {
			continue
		}
		equals++
		if r.opts.Random.IntN(equals) == 0 {
			found = i
		}
	}
	return found
}

// wholeCost is the cost of an engine that does both parts.
func wholeCost(s *score) (float64, bool) {
	return s.prefill + s.decode, s.role != fleet.Prefill && s.role != fleet.Decode
}

// prefillCost is the cost of an engine that does prompts alone.
func prefillCost(s *score) (float64, bool) { return s.prefill, s.role == fleet.Prefill }

// decodeCost is the cost of an engine that may take answers over.
func decodeCost(s *score) (float64, bool) { return s.decode, s.role != fleet.Prefill }

// anyCost is the cost of any engine; engines do whole requests whatever their
// role where no other is left.
func anyCost(s *score) (float64, bool) { return s.prefill + s.decode, true }
