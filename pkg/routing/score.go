package routing

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// lookupBacklogShare is the share of an engine's backlog that a lookup waits
// for, since engines serve lookups before other classes.
const lookupBacklogShare = 0.1

// score is the expected cost of a request at one engine, in seconds.
type score struct {
	// targetIndex is the engine's index in the snapshot.
	targetIndex int
	role        fleet.Role
	version     ident.SoftwareVersion
	// hasPrefill is set if there are prefill engines of the version.
	hasPrefill bool
	// prefill is the cost of the prompt, decode that of the answer, waits
	// included.
	prefill float64
	decode  float64
	// compute is the time to fetch and compute the prompt, without the wait.
	compute float64
	// wait is the time before the engine starts the prompt, slotWait the time
	// before the answer gets its slot.
	wait     float64
	slotWait float64
	slots    float64
	occupied float64
	// uncached is the expected number of prompt tokens to compute.
	uncached float64
	// avoided is set if the engine is ejected after failures or is excluded.
	avoided bool
	// cacheHolder is the index in the snapshot of the engine that a part of the
	// prompt is fetched from, negative if nothing is fetched. fetched is the
	// number of tokens in that part.
	cacheHolder int
	fetched     float64
}

// scoreEngines sets r.scores to the scores of the engines that may take the
// request.
func (r *ModelRouter) scoreEngines(snapshot *fleet.Snapshot, req *request.Request, constraints *Constraints) {
	knobs, now := r.opts.Knobs(), r.opts.Now()
	r.scores = r.scores[:0]
	engines := snapshot.Model(req.Model)
	inIndex := r.lookUpDepths(req)
	home := r.home(snapshot, engines, req, knobs)
	r.updateFleetBacklog(snapshot, engines)
	r.cacheHolders = r.cacheHolders[:0]
	for _, i := range engines {
		state := &snapshot.Targets[i]
		if !r.opts.acceptsNewWork(state, knobs, now) || !constraints.allow(state) {
			continue
		}
		e := estimateEngine(state, r.trackerAt(i), r.daemons, knobs, now)
		e.useFleetBacklog(r, i, state, urgent(req))
		s := score{
			targetIndex: i, role: state.Load.Role, version: state.Record.SoftwareVersion, slots: e.slots, occupied: e.occupied,
			uncached: r.uncached(i, i == home, inIndex, req, knobs, now), cacheHolder: -1,
		}
		s.planFetch(r.cacheHolder(snapshot, engines, req, s.version), knobs)
		s.wait, s.compute = e.prefill(s.uncached)
		s.compute += s.fetched / knobs.FetchRate
		s.prefill = s.compute*(knobs.PrefillWeight+knobs.InterferenceWeight*e.decoding) + r.penalty(state, req, knobs)
		s.slotWait, s.decode = e.decode(float64(req.MaxOutputTokens), urgent(req))
		s.decode *= 1 + knobs.CrowdWeight*e.crowding()
		if req.Class == ident.ClassLookup {
			s.wait *= lookupBacklogShare
			s.slotWait *= lookupBacklogShare
		}
		s.prefill += s.wait
		s.decode += s.slotWait
		s.avoided = r.trackersByIndex[i].ejectedUntil.After(now) || r.trackersByIndex[i].excludedUntil.After(now)
		r.scores = append(r.scores, s)
	}
	r.dropAvoided()
}

// dropAvoided removes the avoided engines of each role that also has engines
// which are not avoided.
func (r *ModelRouter) dropAvoided() {
	healthy := make(map[fleet.Role]bool)
	for i := range r.scores {
		if !r.scores[i].avoided {
			healthy[r.scores[i].role] = true
		}
	}
	r.scores = slices.DeleteFunc(r.scores, func(s score) bool { return s.avoided && healthy[s.role] })
}

// lookUpDepths looks the prompt up in the index and reports whether any engine
// holds a part of it.
func (r *ModelRouter) lookUpDepths(req *request.Request) bool {
	clear(r.depths[:])
	if r.opts.Disabled.Index || len(req.Prefix) == 0 {
		return false
	}
	r.index.Depths(req.Prefix, r.depths[:])
	return slices.Max(r.depths[:]) > 0
}

// home returns the index of the prompt's home engine, or a negative number.
// Rendezvous hashing selects it by the prompt's first AffinityBlocks blocks among
// the engines that accept new work and compute prompts, so that prompts with the
// same beginning have the same home. If there are prefill engines, the home is one
// of them.
func (r *ModelRouter) home(snapshot *fleet.Snapshot, engines []int, req *request.Request, knobs *config.RoutingKnobs) int {
	key, ok := affinityKey(req.Prefix, knobs.AffinityBlocks)
	if !ok || r.opts.Disabled.Affinity {
		return -1
	}
	best, home, prefill := uint64(0), -1, false
	for _, i := range engines {
		role := snapshot.Targets[i].Load.Role
		if role == fleet.Decode || (prefill && role != fleet.Prefill) || !r.opts.acceptsNewWork(&snapshot.Targets[i], knobs, r.opts.Now()) {
			continue
		}
		if role == fleet.Prefill && !prefill {
			best, home, prefill = 0, -1, true
		}
		if weight := mix(key, r.trackersByIndex[i].hash); weight >= best {
			best, home = weight, i
		}
	}
	return home
}

// uncached returns the expected number of prompt tokens that the engine has to
// compute.
func (r *ModelRouter) uncached(i int, isHome, inIndex bool, req *request.Request, knobs *config.RoutingKnobs, now time.Time) float64 {
	cached := max(r.indexedDepth(i, knobs), float64(r.trackersByIndex[i].recentPrompts.depth(req.Prefix, now, knobs.PromptMemory.D())))
	if isHome && !inIndex {
		cached = max(cached, r.homeCredit(knobs)*float64(len(req.Prefix)))
	}
	return max(0, float64(req.PromptTokens)-cached*request.PrefixBlockTokens)
}

// indexedDepth returns how many leading blocks of the prompt the engine holds
// according to the index. lookUpDepths must have been called for the prompt.
func (r *ModelRouter) indexedDepth(i int, knobs *config.RoutingKnobs) float64 {
	slot := r.trackersByIndex[i].slot
	if slot < 0 {
		return 0
	}
	depth := float64(r.depths[slot])
	if r.index.Stale(slot) {
		depth *= knobs.StaleCredit
	}
	return depth
}

// homeCredit returns the share of a prompt that its home engine is assumed to
// hold if the index has no entry for it. Daemons that don't report where they
// place prompts send them to the same home, so the fewer daemons report, the
// more likely the home holds the prompt.
func (r *ModelRouter) homeCredit(knobs *config.RoutingKnobs) float64 {
	if r.opts.ReportingShare == nil {
		return knobs.AffinityCredit
	}
	return max(knobs.AffinityCredit, unreportedHomeCredit*(1-r.opts.ReportingShare()))
}

// unreportedHomeCredit is the home's credit if no other daemon reports.
const unreportedHomeCredit = 0.95

// penalty returns the cost of the engine's failure domain and kind.
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
