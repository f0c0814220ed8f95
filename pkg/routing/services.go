package routing

import (
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// ServiceRouter sends each call to the less loaded of two replicas drawn at random in
// proportion to their capacity, and ejects failing replicas for a while.
type ServiceRouter struct {
	opts Options

	mu       sync.Mutex
	trackers map[ident.Target]*targetTracker
	// callTimes holds the median of the logarithm of the seconds that calls take, by route.
	callTimes map[ident.Route]*capacity.Median
	// usable and weights are reused by each decision; usable holds indexes into the
	// snapshot, and weights the weights of the same replicas.
	usable  []int
	weights []float64
}

var _ Router = (*ServiceRouter)(nil)

// NewServiceRouter returns a router without outstanding calls.
func NewServiceRouter(opts Options) *ServiceRouter {
	opts.ensureShared()
	return &ServiceRouter{
		opts: opts, trackers: make(map[ident.Target]*targetTracker), callTimes: make(map[ident.Route]*capacity.Median),
	}
}

// Choose returns the replica for the call, and counts the call there.
func (s *ServiceRouter) Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.opts.View.Snapshot()
	s.forgetGone(snapshot)
	s.collectUsable(snapshot, req.Service, constraints)
	if len(s.usable) == 0 {
		if err := s.opts.withheldError(snapshot, snapshot.Service(req.Service), string(req.Service)); err != nil {
			return nil, err
		}
		return nil, fault.New(fault.Unavailable, "no replica of the service accepts new requests",
			"send the request again after the time in Retry-After").WithRetryAfter(retryAfter)
	}
	best := s.lessLoaded(snapshot)
	s.tracker(best.Record.Target).outstanding++
	return best, nil
}

// Done removes a call from the replica's count.
func (s *ServiceRouter) Done(_ *request.Request, target ident.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker := s.tracker(target)
	tracker.outstanding = max(0, tracker.outstanding-1)
}

// ObserveResult records the result of an attempt at a replica, so that failing
// replicas are ejected. An absent one needs no ejection.
func (s *ServiceRouter) ObserveResult(target ident.Target, result AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker, knobs := s.tracker(target), s.opts.Knobs()
	if result == Answered {
		tracker.failures = 0
		tracker.ejectedUntil = time.Time{}
		return
	}
	if result == Rejected {
		tracker.observeRejection(s.opts.Now())
	}
	if s.opts.absences.isAbsent(target) {
		return
	}
	tracker.failures++
	if int64(tracker.failures) >= knobs.OutlierErrors && s.mayEject(target, knobs) {
		now := s.opts.Now()
		ejected := tracker.ejectedUntil.After(now)
		tracker.ejectedUntil = now.Add(knobs.OutlierPause.D())
		if !ejected {
			s.opts.notifyEjected(target, tracker.failures)
		}
	}
}

// ExpectedWait returns the shortest expected wait of a call at any replica, and
// the share of the slots that are in use. The wait is one second for each
// request that waits per slot, and at most one second. If no replica accepts new
// work, the wait is retryAfter.
func (s *ServiceRouter) ExpectedWait(req *request.Request) (wait time.Duration, utilization float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.opts.View.Snapshot()
	s.collectUsable(snapshot, req.Service, nil)
	if len(s.usable) == 0 {
		return retryAfter, 0
	}
	slots, occupied, least := 0, 0, 1.0
	for _, i := range s.usable {
		state := &snapshot.Targets[i]
		count := max(1, state.Load.Slots)
		slots += count
		occupied += min(count, s.occupied(state))
		least = min(least, max(0, float64(s.occupied(state)-count)/float64(count)))
	}
	return time.Duration(least * float64(time.Second)), float64(occupied) / float64(slots)
}

// collectUsable lists the replicas that may take a call. Ejected ones are
// included only if all are ejected.
func (s *ServiceRouter) collectUsable(snapshot *fleet.Snapshot, service ident.Service, constraints *Constraints) {
	knobs, now := s.opts.Knobs(), s.opts.Now()
	s.usable = s.usable[:0]
	ejected := 0
	for _, i := range snapshot.Service(service) {
		state := &snapshot.Targets[i]
		if !s.opts.acceptsNewWork(state, knobs, now) || !constraints.allow(state) {
			continue
		}
		s.usable = append(s.usable, i)
		if s.tracker(state.Record.Target).ejectedUntil.After(now) {
			last := len(s.usable) - 1
			s.usable[ejected], s.usable[last] = s.usable[last], s.usable[ejected]
			ejected++
		}
	}
	if ejected < len(s.usable) {
		s.usable = slices.Delete(s.usable, 0, ejected)
	}
}

// lessLoaded draws two of the usable replicas and returns the less loaded one, by the
// share of its limit that is in use.
func (s *ServiceRouter) lessLoaded(snapshot *fleet.Snapshot) *fleet.TargetState {
	now := s.opts.Now()
	s.weigh(snapshot, now)
	first, second := s.drawTwo()
	best, other := &snapshot.Targets[s.usable[first]], &snapshot.Targets[s.usable[second]]
	mean := s.meanLoad(snapshot, now)
	if s.load(other, mean, now) < s.load(best, mean, now) {
		return other
	}
	return best
}

// occupied returns the larger of a replica's reported load and the daemon's own
// calls there.
func (s *ServiceRouter) occupied(state *fleet.TargetState) int {
	tracker, load := s.tracker(state.Record.Target), &state.Load
	if tracker.answerLoadAt.After(state.LoadAt) {
		load = &tracker.answerLoad
	}
	return max(load.Running+load.Queued, tracker.outstanding)
}

// mayEject reports whether the replica may be ejected without exceeding
// OutlierShare.
func (s *ServiceRouter) mayEject(target ident.Target, knobs *config.RoutingKnobs) bool {
	snapshot := s.opts.View.Snapshot()
	state := snapshot.Target(target)
	if state == nil {
		return false
	}
	replicas := snapshot.Service(state.Record.Service)
	ejected := 1
	for _, i := range replicas {
		other := snapshot.Targets[i].Record.Target
		if other != target && s.tracker(other).ejectedUntil.After(s.opts.Now()) {
			ejected++
		}
	}
	return float64(ejected) <= knobs.OutlierShare*float64(len(replicas))
}

// tracker returns the tracker of a replica, and creates it if there is none.
func (s *ServiceRouter) tracker(target ident.Target) *targetTracker {
	tracker, ok := s.trackers[target]
	if !ok {
		tracker = &targetTracker{slot: -1}
		s.trackers[target] = tracker
	}
	return tracker
}
