package routing

import (
	"math"
	"time"

	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// ObserveAnswer records how long a call took, in relation to the median of its route.
func (s *ServiceRouter) ObserveAnswer(req *request.Request, target ident.Target, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.opts.View.Snapshot().Target(target)
	if state == nil || took <= 0 {
		return
	}
	median, ok := s.callTimes[req.Route]
	if !ok && len(s.callTimes) >= maxTimedRoutes {
		return
	}
	if !ok {
		median = &capacity.Median{}
		s.callTimes[req.Route] = median
	}
	now, tracker, level := s.opts.Now(), s.trackerOf(state), math.Log(took.Seconds())
	median.Add(level)
	tracker.capacity.Observe(capacity.Sample{
		Ratio: math.Exp(level - median.ValueOr(level)), Took: took,
		InFlight: tracker.inFlight(now), Slots: float64(tracker.slots(state)),
	}, now)
}

// maxTimedRoutes bounds the routes whose calls are timed.
const maxTimedRoutes = 4096

// trackerOf returns the tracker of a replica with the capacity of its incarnation.
func (s *ServiceRouter) trackerOf(state *fleet.TargetState) *targetTracker {
	tracker := s.tracker(state.Record.Target)
	tracker.capacity = s.opts.Capacity.Target(capacity.Ref{
		Target: state.Record.Target, Incarnation: state.Incarnation,
		Group: capacity.Group{Serves: string(state.Record.Service), Version: state.Record.SoftwareVersion},
	})
	return tracker
}

// forgetGone drops the replicas that are no longer in the snapshot, once they are many.
func (s *ServiceRouter) forgetGone(snapshot *fleet.Snapshot) {
	if s.opts.Capacity.Len() <= 2*len(snapshot.Targets) {
		return
	}
	s.opts.Capacity.Keep(func(name ident.Target) bool { return snapshot.Target(name) != nil })
	for name := range s.trackers {
		if snapshot.Target(name) == nil {
			delete(s.trackers, name)
		}
	}
}

// weigh sets s.weights to the capacities of the usable replicas: the limit of requests in
// flight divided by the time of each.
func (s *ServiceRouter) weigh(snapshot *fleet.Snapshot, now time.Time) {
	s.weights = s.weights[:0]
	for _, i := range s.usable {
		weight := 1.0
		if !s.opts.Disabled.Capacity {
			state := &snapshot.Targets[i]
			tracker := s.trackerOf(state)
			weight = tracker.capacity.Limit(float64(max(1, tracker.slots(state))), now) / tracker.capacity.Slowness(now)
		}
		s.weights = append(s.weights, weight)
	}
}

// drawTwo returns the positions in s.usable of two replicas, each drawn in proportion to the
// weights. They are different unless one has over half of the weight: the second lies
// further than the largest weight from the first, on a circle of all weights.
func (s *ServiceRouter) drawTwo() (first, second int) {
	total, largest := 0.0, 0.0
	for _, weight := range s.weights {
		total += weight
		largest = max(largest, weight)
	}
	at := s.opts.Random.Float64() * total
	distance := total / 2
	if span := total - 2*largest; span > 0 {
		distance = largest + s.opts.Random.Float64()*span
	}
	return s.replicaAt(at), s.replicaAt(math.Mod(at+distance, total))
}

// replicaAt returns the position in s.usable of the replica at a point of the weights laid
// one after the other.
func (s *ServiceRouter) replicaAt(point float64) int {
	for i, weight := range s.weights {
		if point < weight {
			return i
		}
		point -= weight
	}
	return len(s.weights) - 1
}

// loadMemory is the time constant with which the load of a replica's last answer loses its
// effect, since other daemons send to the replica too.
const loadMemory = 250 * time.Millisecond

// load returns the share of a replica's limit that is in use with one more request. A load
// that was stated earlier counts less, and the mean of the replicas' shares instead. A
// replica that states no slots counts as having one.
func (s *ServiceRouter) load(state *fleet.TargetState, mean float64, now time.Time) float64 {
	if s.opts.Disabled.Capacity {
		return float64(s.occupied(state))
	}
	tracker := s.trackerOf(state)
	limit := tracker.capacity.Limit(float64(max(1, tracker.slots(state))), now)
	own := float64(tracker.outstanding+1) / limit
	if tracker.answerLoadAt.IsZero() {
		return max(own, mean)
	}
	stated := (float64(tracker.answerLoad.Running+tracker.answerLoad.Queued) + 1) / limit
	fresh := math.Exp(-now.Sub(tracker.answerLoadAt).Seconds() / loadMemory.Seconds())
	return max(own, mean+(stated-mean)*fresh)
}

// meanLoad returns the mean share of the usable replicas' limits that is in use by what
// they stated last.
func (s *ServiceRouter) meanLoad(snapshot *fleet.Snapshot, now time.Time) float64 {
	used, limits := 0.0, 0.0
	for _, i := range s.usable {
		state := &snapshot.Targets[i]
		tracker := s.tracker(state.Record.Target)
		if tracker.capacity == nil || tracker.answerLoadAt.IsZero() {
			continue
		}
		used += float64(tracker.answerLoad.Running + tracker.answerLoad.Queued)
		limits += tracker.capacity.Limit(float64(max(1, tracker.slots(state))), now)
	}
	return used / max(1, limits)
}
