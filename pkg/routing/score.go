package routing

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// lookupBacklogShare is the part of an engine's backlog that a lookup waits
// for, since engines serve it before other classes.
const lookupBacklogShare = 0.1

// score is what one engine would cost a request, in seconds.
type score struct {
	// target is the engine's index in the snapshot.
	target int
	role   fleet.Role
	// prefill is the cost of the prompt there, decode that of the answer.
	prefill float64
	decode  float64
	// own is the time of the prompt itself, beside the wait.
	own float64
	// wait is the time before the prompt is looked at, slotWait that before
	// the answer gets its slot.
	wait     float64
	slotWait float64
	slots    float64
	occupied float64
	// uncached is the expected count of prompt tokens to compute.
	uncached float64
	// ejected says that the engine failed lately.
	ejected bool
	// holder is the index of the engine that a part of the prompt is fetched
	// from, negative without one, and fetched how many tokens that is.
	holder  int
	fetched float64
}

// score fills the scores of the engines that may take the request.
func (r *ModelRouter) score(snapshot *fleet.Snapshot, req *request.Request, exclude []ident.Target) {
	knobs, now := r.opts.Knobs(), r.opts.Now()
	r.scores = r.scores[:0]
	engines := snapshot.Model(req.Model)
	known := r.findDepths(req)
	home := r.home(snapshot, engines, req, knobs)
	r.lookAround(snapshot, engines)
	holder, lacks := r.holder(snapshot, engines, req)
	for _, i := range engines {
		state := &snapshot.Targets[i]
		if !takesNew(state, knobs, now) || slices.Contains(exclude, state.Record.Target) {
			continue
		}
		e := estimateOf(state, r.own(i), r.daemons, knobs, now)
		e.elsewhere(r, i, state, urgent(req))
		s := score{
			target: i, role: state.Load.Role, slots: e.slots, occupied: e.occupied,
			uncached: r.uncached(i, i == home, known, req, knobs, now), holder: -1,
		}
		s.fetch(holder, lacks, knobs)
		s.wait, s.own = e.prefill(s.uncached)
		s.own += s.fetched / knobs.FetchRate
		s.prefill = s.own*(knobs.PrefillWeight+knobs.InterferenceWeight*e.decoding) + r.penalty(state, req, knobs)
		s.slotWait, s.decode = e.decode(float64(req.MaxOutputTokens))
		s.decode *= 1 + knobs.CrowdWeight*e.crowd()
		if req.Class == ident.ClassLookup {
			s.wait *= lookupBacklogShare
			s.slotWait *= lookupBacklogShare
		}
		s.prefill += s.wait
		s.decode += s.slotWait
		s.ejected = r.refs[i].ejectedUntil.After(now) || r.refs[i].awayUntil.After(now)
		r.scores = append(r.scores, s)
	}
	r.dropEjected()
}

// holder returns the index of the engine that has computed the most of the prompt
// as far as is known, and the tokens that it lacks; the index is negative where
// none can be fetched from.
func (r *ModelRouter) holder(snapshot *fleet.Snapshot, engines []int, req *request.Request) (best int, lacks float64) {
	knobs, now := r.opts.Knobs(), r.opts.Now()
	best, lacks = -1, float64(req.PromptTokens)
	if knobs.FetchLeast <= 0 {
		return best, lacks
	}
	for _, i := range engines {
		if !takesNew(&snapshot.Targets[i], knobs, now) || r.refs[i].ejectedUntil.After(now) {
			continue
		}
		depth := max(r.indexed(i, knobs), float64(r.refs[i].prompts.computed(req.Prefix, now, knobs.PromptMemory.D())))
		if left := float64(req.PromptTokens) - depth*request.PrefixBlockTokens; left < lacks {
			best, lacks = i, max(0, left)
		}
	}
	return best, lacks
}

// fetch has the engine fetch what the holder has beyond it, where that is much.
func (s *score) fetch(holder int, lacks float64, knobs *config.RoutingKnobs) {
	more := s.uncached - lacks
	if holder < 0 || holder == s.target || more < float64(knobs.FetchLeast) {
		return
	}
	s.holder, s.fetched, s.uncached = holder, more, lacks
}

// dropEjected leaves out the engines that failed lately, as long as others of
// the same role are there.
func (r *ModelRouter) dropEjected() {
	sound := make(map[fleet.Role]bool)
	for i := range r.scores {
		if !r.scores[i].ejected {
			sound[r.scores[i].role] = true
		}
	}
	r.scores = slices.DeleteFunc(r.scores, func(s score) bool { return s.ejected && sound[s.role] })
}

// findDepths looks the prompt up in the index and reports whether any engine
// holds a part of it.
func (r *ModelRouter) findDepths(req *request.Request) bool {
	clear(r.depths[:])
	if r.opts.Off.Index || len(req.Prefix) == 0 {
		return false
	}
	r.index.Depths(req.Prefix, r.depths[:])
	return slices.Max(r.depths[:]) > 0
}

// home returns the index of the engine that rendezvous hashing names for the
// prompt, or a negative number. Where engines compute prompts alone, homes are
// among those.
func (r *ModelRouter) home(snapshot *fleet.Snapshot, engines []int, req *request.Request, knobs *config.RoutingKnobs) int {
	key, ok := affinityKey(req.Prefix, knobs.AffinityBlocks)
	if !ok || r.opts.Off.Affinity {
		return -1
	}
	best, home, prefill := uint64(0), -1, false
	for _, i := range engines {
		role := snapshot.Targets[i].Load.Role
		if role == fleet.Decode || (prefill && role != fleet.Prefill) || !takesNew(&snapshot.Targets[i], knobs, r.opts.Now()) {
			continue
		}
		if role == fleet.Prefill && !prefill {
			best, home, prefill = 0, -1, true
		}
		if weight := mix(key, r.refs[i].hash); weight >= best {
			best, home = weight, i
		}
	}
	return home
}

// uncached returns how many prompt tokens the engine is expected to compute.
func (r *ModelRouter) uncached(i int, home, known bool, req *request.Request, knobs *config.RoutingKnobs, now time.Time) float64 {
	cached := max(r.indexed(i, knobs), float64(r.refs[i].prompts.depth(req.Prefix, now, knobs.PromptMemory.D())))
	if home && !known {
		cached = max(cached, r.homeCredit(knobs)*float64(len(req.Prefix)))
	}
	return max(0, float64(req.PromptTokens)-cached*request.PrefixBlockTokens)
}

// indexed returns how many leading blocks of the prompt whose depths were looked
// up the engine holds by the index.
func (r *ModelRouter) indexed(i int, knobs *config.RoutingKnobs) float64 {
	slot := r.refs[i].slot
	if slot < 0 {
		return 0
	}
	depth := float64(r.depths[slot])
	if r.index.Stale(slot) {
		depth *= knobs.StaleCredit
	}
	return depth
}

// homeCredit returns the share of a prompt that its home engine is taken to
// hold where nothing tells. Daemons that don't tell where they place prompts
// send them to the same home, so that it holds them the more likely the fewer
// do tell.
func (r *ModelRouter) homeCredit(knobs *config.RoutingKnobs) float64 {
	if r.opts.Told == nil {
		return knobs.AffinityCredit
	}
	return max(knobs.AffinityCredit, untoldCredit*(1-r.opts.Told()))
}

// untoldCredit is the home's credit where no daemon tells anything.
const untoldCredit = 0.95

// penalty returns the cost of the place that an engine stands at.
func (r *ModelRouter) penalty(state *fleet.TargetState, req *request.Request, knobs *config.RoutingKnobs) float64 {
	cost := 0.0
	if state.Record.FailureDomain != r.opts.Domain {
		cost += knobs.DomainPenalty.D().Seconds()
	}
	deferrable := req.Class == ident.ClassDeferrable
	if deferrable && !reclaimable(state) {
		cost += knobs.DependablePenalty.D().Seconds()
	}
	if !deferrable && reclaimable(state) {
		cost += knobs.ReclaimablePenalty.D().Seconds()
	}
	return cost
}
