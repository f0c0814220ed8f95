package routing

import (
	"cmp"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TakeReport returns this daemon's report to the others, and clears the placed
// prompts and excluded engines that it contains.
func (r *ModelRouter) TakeReport() backlog.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := backlog.Report{Outstanding: r.outstanding(), Placed: r.unsentPrompts, Away: r.unsentExclusions}
	r.unsentPrompts, r.unsentExclusions = nil, nil
	return report
}

// ExcludeAndReport excludes engines from new work for a while, at this daemon
// and, by the next report, at the daemons that receive it. The exclusion ends
// early if an engine reports another role.
func (r *ModelRouter) ExcludeAndReport(exclusions []backlog.Exclusion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludeLocked(exclusions)
	r.unsentExclusions = append(r.unsentExclusions, exclusions...)
}

// Exclude excludes engines from new work for a while, at this daemon only.
func (r *ModelRouter) Exclude(exclusions []backlog.Exclusion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludeLocked(exclusions)
}

// excludeLocked excludes engines from new work for a while; r.mu must be held.
// It loads the newest snapshot first, since the engines may be new.
func (r *ModelRouter) excludeLocked(exclusions []backlog.Exclusion) {
	r.refresh()
	now := r.opts.Now()
	for _, e := range exclusions {
		until := now.Add(time.Duration(e.Millis) * time.Millisecond)
		tracker, ok := r.trackers[e.Target]
		if !ok || (e.Role != "" && e.Role != tracker.role) {
			continue
		}
		if until.After(tracker.excludedUntil) {
			tracker.excludedUntil = until
		}
	}
}

// ObserveReport processes the report of another daemon.
func (r *ModelRouter) ObserveReport(report *backlog.Report) {
	placed := report.Placed
	if len(placed)+len(report.Away) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	now, retention := r.opts.Now(), r.opts.Knobs().PromptMemory.D()
	for i := range placed {
		if tracker, ok := r.trackers[placed[i].Target]; ok {
			tracker.recentPrompts.add(placed[i].Blocks, now, time.Duration(placed[i].Millis)*time.Millisecond, retention)
		}
	}
	r.excludeLocked(report.Away)
}

// maxUnsent bounds the placed prompts that wait for the next report, and
// separately the exclusions of engines that rejected a request. Those beyond it
// are not reported.
const maxUnsent = 256

// queuePlaced adds a placed prompt to the next report.
func (r *ModelRouter) queuePlaced(target ident.Target, blocks []uint64, promptTime time.Duration) {
	if r.opts.PeerBacklog != nil && len(blocks) > 0 && len(r.unsentPrompts) < maxUnsent {
		r.unsentPrompts = append(r.unsentPrompts, backlog.PlacedPrompt{Target: target, Blocks: blocks, Millis: promptTime.Milliseconds()})
	}
}

// outstanding returns the uncached tokens of the daemon's own pending prompts and
// its running requests, summed by engine.
func (r *ModelRouter) outstanding() []backlog.Outstanding {
	var sums []backlog.Outstanding
	for name, tracker := range r.trackers {
		if tracker.outstanding > 0 {
			sums = append(sums, tracker.sums(name))
		}
	}
	slices.SortFunc(sums, func(a, b backlog.Outstanding) int { return cmp.Compare(a.Target, b.Target) })
	return sums
}
