package routing

import (
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// cacheHolder is the engine of one software version that is known to have computed the
// most of a prompt.
type cacheHolder struct {
	version ident.SoftwareVersion
	// targetIndex is the engine's index in the snapshot, negative if no engine can be
	// fetched from.
	targetIndex int
	// missing is the number of prompt tokens that the engine has not computed.
	missing float64
}

// cacheHolder returns the engine of a software version that a prompt can be fetched from.
// It is found once for each version of a decision, in which r.cacheHolders is empty at first.
func (r *ModelRouter) cacheHolder(snapshot *fleet.Snapshot, engines []int, req *request.Request, version ident.SoftwareVersion) cacheHolder {
	for _, holder := range r.cacheHolders {
		if holder.version == version {
			return holder
		}
	}
	holder := r.findCacheHolder(snapshot, engines, req, version)
	r.cacheHolders = append(r.cacheHolders, holder)
	return holder
}

// findCacheHolder searches the engines of a software version.
func (r *ModelRouter) findCacheHolder(snapshot *fleet.Snapshot, engines []int, req *request.Request, version ident.SoftwareVersion) cacheHolder {
	knobs, now := r.opts.Knobs(), r.opts.Now()
	best := cacheHolder{version: version, targetIndex: -1, missing: float64(req.PromptTokens)}
	if knobs.FetchLeast <= 0 {
		return best
	}
	for _, i := range engines {
		state := &snapshot.Targets[i]
		if state.Record.SoftwareVersion != version || !r.opts.acceptsNewWork(state, knobs, now) || r.trackersByIndex[i].ejectedUntil.After(now) {
			continue
		}
		depth := max(r.indexedDepth(i, knobs), float64(r.trackersByIndex[i].recentPrompts.computedDepth(req.Prefix, now, knobs.PromptMemory.D())))
		if left := float64(req.PromptTokens) - depth*request.PrefixBlockTokens; left < best.missing {
			best.targetIndex, best.missing = i, max(0, left)
		}
	}
	return best
}

// planFetch plans to fetch from the cache holder the tokens that the engine itself
// does not hold, if they are at least FetchLeast.
func (s *score) planFetch(from cacheHolder, knobs *config.RoutingKnobs) {
	fetchable := s.uncached - from.missing
	if from.targetIndex < 0 || from.targetIndex == s.targetIndex || fetchable < float64(knobs.FetchLeast) {
		return
	}
	s.cacheHolder, s.fetched, s.uncached = from.targetIndex, fetchable, from.missing
}
