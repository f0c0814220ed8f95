package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/prefix"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// retryAfter is the Retry-After that callers get if no target accepts new work.
const retryAfter = 2 * time.Second

// ModelRouter places each model request on the engines with the lowest expected
// cost, measured in time.
type ModelRouter struct {
	opts Options

	mu sync.Mutex
	// trackers holds the trackers of targets by name.
	trackers map[ident.Target]*targetTracker
	index    *prefix.Index
	// lastSnapshot is the snapshot that trackersByIndex was made for;
	// trackersByIndex holds the trackers of its targets in the same order.
	lastSnapshot    *fleet.Snapshot
	trackersByIndex []*targetTracker
	// daemons counts the daemons that send to the engines, as of that snapshot.
	daemons int
	// unsentPrompts are the placed prompts that have not been sent to other
	// daemons yet.
	unsentPrompts []backlog.PlacedPrompt
	// unsentExclusions are the exclusions of engines that have not been sent to other
	// daemons yet.
	unsentExclusions []backlog.Exclusion
	// meters meter the work of models by name.
	meters map[ident.Model]*workMeter
	// fleetBacklog, scores, cacheHolders, prefillVersions and depths are reused by each decision.
	fleetBacklog fleetBacklog
	scores       []score
	cacheHolders []cacheHolder
	// prefillVersions are the software versions of the scored prefill engines.
	prefillVersions []ident.SoftwareVersion
	depths          [prefix.MaxEngines]int32
}

var _ Router = (*ModelRouter)(nil)

// NewModelRouter returns a router without outstanding requests.
func NewModelRouter(opts Options) *ModelRouter {
	opts.ensureShared()
	return &ModelRouter{opts: opts, trackers: make(map[ident.Target]*targetTracker), meters: make(map[ident.Model]*workMeter), index: prefix.New()}
}

// Choose returns the engine that runs the whole request, and counts the request
// there.
func (r *ModelRouter) Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	placement, err := r.PlaceWhole(req, constraints)
	return placement.Target, err
}

// Place returns the engines that compute the request's prompt and its answer,
// and counts the request at both. Done must be called for each engine of the
// placement.
func (r *ModelRouter) Place(req *request.Request, constraints *Constraints) (Placement, error) {
	return r.place(req, constraints, !r.opts.Disabled.Disaggregation)
}

// PlaceWhole returns the engine that runs the whole request, and counts the request
// there.
func (r *ModelRouter) PlaceWhole(req *request.Request, constraints *Constraints) (Placement, error) {
	return r.place(req, constraints, false)
}

// ChooseDecode returns the engine that generates the answer of a request whose
// prompt was computed by another engine, and counts the request there.
func (r *ModelRouter) ChooseDecode(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	r.scoreEngines(snapshot, req, constraints)
	decode := r.cheapest(taskDecode, taskLimits{})
	if decode < 0 {
		return nil, r.placementError(req, constraints)
	}
	i := r.scores[decode].targetIndex
	r.trackersByIndex[i].recordSend(sentRequest{id: req.ID, sentAt: r.opts.Now()})
	return &snapshot.Targets[i], nil
}

// Done removes a request from the target's count.
func (r *ModelRouter) Done(req *request.Request, target ident.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tracker, ok := r.trackers[target]; ok {
		tracker.recordDone(req.ID)
	}
}

// ObservePromptTime records how long an engine took for a prompt. It must be
// called before Done.
func (r *ModelRouter) ObservePromptTime(req *request.Request, target ident.Target, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracker, ok := r.trackers[target]
	if !ok {
		return
	}
	if s, ok := tracker.removePending(req.ID); ok {
		tracker.observePromptTime(took.Seconds(), s)
	}
}

// ApplyCacheEvent applies an event of an engine's prefix cache to the index.
func (r *ModelRouter) ApplyCacheEvent(target ident.Target, event fleet.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Apply(target, event)
}

// ExpectedWait returns the expected wait of the request at the engines that it
// would now be placed on, and the share of the engines' slots that are in use.
// If no engine can take the request, the wait is retryAfter.
func (r *ModelRouter) ExpectedWait(req *request.Request) (wait time.Duration, utilization float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scoreEngines(r.refresh(), req, nil)
	prefill, decode := r.bestEngines(req, nil, !r.opts.Disabled.Disaggregation)
	if prefill < 0 {
		return retryAfter, 0
	}
	slots, occupied := 0.0, 0.0
	for i := range r.scores {
		slots += r.scores[i].slots
		occupied += min(r.scores[i].occupied, r.scores[i].slots)
	}
	seconds := r.scores[prefill].wait + r.scores[decode].slotWait
	return time.Duration(seconds * float64(time.Second)), occupied / max(1, slots)
}

// MinRunTime returns the shortest time that the request would take on any engine
// if the engine were idle and the answer had the given number of tokens. Prompt
// blocks that the engine holds are not computed again.
func (r *ModelRouter) MinRunTime(req *request.Request, output float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	knobs, now := r.opts.Knobs(), r.opts.Now()
	r.lookUpDepths(req)
	shortest := -1.0
	for _, i := range snapshot.Model(req.Model) {
		state := &snapshot.Targets[i]
		if !r.opts.acceptsNewWork(state, knobs, now) {
			continue
		}
		e := estimateEngine(state, r.trackerAt(i), r.daemons, knobs, now)
		run := r.uncached(i, false, true, req, knobs, now)/e.prefillRate + output/e.decodeRate
		if shortest < 0 || run < shortest {
			shortest = run
		}
	}
	return time.Duration(max(0, shortest) * float64(time.Second))
}

// place scores the engines, selects the cheapest and counts the request there.
func (r *ModelRouter) place(req *request.Request, constraints *Constraints, disaggregate bool) (Placement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	r.scoreEngines(snapshot, req, constraints)
	prefill, decode := r.bestEngines(req, constraints, disaggregate)
	if prefill < 0 {
		return Placement{}, r.placementError(req, constraints)
	}
	s := &r.scores[prefill]
	placement := Placement{Target: &snapshot.Targets[s.targetIndex], Expected: Expected{
		Wait: duration(s.wait), Own: duration(s.compute), Uncached: int(s.uncached), Present: s.occupied,
		Slowness: r.trackersByIndex[s.targetIndex].slowness,
	}}
	if s.cacheHolder >= 0 {
		placement.CacheHolder = &snapshot.Targets[s.cacheHolder]
	}
	now := r.opts.Now()
	retention := r.opts.Knobs().PromptMemory.D()
	r.trackersByIndex[s.targetIndex].recordSend(sentRequest{
		id: req.ID, sentAt: now, uncachedTokens: s.uncached, expectedTime: s.wait + s.compute,
		assumedSlowness: r.trackersByIndex[s.targetIndex].assumedSlowness(), urgent: urgent(req),
	})
	promptTime := duration(s.wait + s.compute)
	r.trackersByIndex[s.targetIndex].recentPrompts.add(req.BoundaryHashes(), now, promptTime, retention)
	r.queuePlaced(placement.Target.Record.Target, req.BoundaryHashes(), promptTime)
	if retention == 0 {
		r.index.RecordSent(placement.Target.Record.Target, req.Prefix)
	}
	if decode >= 0 && decode != prefill {
		d := r.scores[decode].targetIndex
		placement.Decode = &snapshot.Targets[d]
		r.trackersByIndex[d].recordSend(sentRequest{id: req.ID, sentAt: now})
	}
	return placement, nil
}

// duration converts seconds to a time.Duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// urgent reports whether a request has urgency 0, the most urgent, which engines
// serve before others. A request without a Host header is never urgent.
func urgent(req *request.Request) bool { return req.Host != "" && req.Urgency == 0 }

// refresh brings the trackers up to the newest snapshot and returns it.
func (r *ModelRouter) refresh() *fleet.Snapshot {
	snapshot := r.opts.View.Snapshot()
	if snapshot == r.lastSnapshot {
		return snapshot
	}
	r.lastSnapshot = snapshot
	r.daemons = r.countDaemons()
	r.trackersByIndex = r.trackersByIndex[:0]
	for i := range snapshot.Targets {
		r.trackersByIndex = append(r.trackersByIndex, r.updateTracker(&snapshot.Targets[i]))
	}
	if len(r.trackers) > 2*len(snapshot.Targets) {
		r.forget(snapshot)
	}
	return snapshot
}

// updateTracker brings the tracker of a target up to the target's last report.
func (r *ModelRouter) updateTracker(state *fleet.TargetState) *targetTracker {
	name := state.Record.Target
	tracker, ok := r.trackers[name]
	if !ok {
		tracker = &targetTracker{slot: -1, hash: xxhash.Sum64String(string(name))}
		if state.Record.Service == "" {
			tracker.slot = r.index.Slot(name)
		}
		r.trackers[name] = tracker
	}
	load := &state.Load
	if model := state.Record.Model; model != "" {
		meter := r.meter(model)
		tracker.typicalSlowness, tracker.decodeSlowness = meter.slowness(load.Role), &meter.decodeSlowness
	}
	if tracker.sequence != 0 && load.Incarnation != tracker.incarnation {
		r.index.Restart(name)
	}
	if load.CacheLimit > 0 && tracker.sequence == 0 {
		r.index.SetLimit(name, load.CacheLimit)
	}
	tracker.observeReport(load.Incarnation, load.Sequence, takenAt(load, state.LoadAt))
	if load.Role != tracker.role {
		tracker.role, tracker.excludedUntil = load.Role, time.Time{}
	}
	return tracker
}

// forget drops the targets that are no longer in the snapshot.
func (r *ModelRouter) forget(snapshot *fleet.Snapshot) {
	for name := range r.trackers {
		if snapshot.Target(name) == nil {
			delete(r.trackers, name)
			r.index.Forget(name)
		}
	}
}

// trackerAt returns the tracker of a target by its index in the last snapshot.
func (r *ModelRouter) trackerAt(i int) *targetTracker {
	if r.opts.Disabled.OwnSends {
		return &targetTracker{}
	}
	return r.trackersByIndex[i]
}

// countDaemons returns the number of daemons that send requests to the engines.
func (r *ModelRouter) countDaemons() int {
	if r.opts.Disabled.PeerSends || r.opts.Daemons == nil {
		return 1
	}
	return max(1, r.opts.Daemons())
}
