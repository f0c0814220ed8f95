package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// idleFraction is the fraction of a scheduler's rate below which a workspace
	// counts as idle.
	idleFraction = 0.001
	// outputShareSmoothing is the weight of one request in the moving average of
	// output shares.
	outputShareSmoothing = 0.05
)

// scheduler orders the requests for the engines of one model or the replicas of
// one service. Workspaces are served in proportion to their weights by virtual
// token counters: the flow with the lowest counter goes first.
type scheduler struct {
	flows map[ident.Workspace]*flow
	// flowList lists the flows in the order of their first requests, so that
	// decisions don't depend on map iteration order.
	flowList []*flow
	// floor is the highest counter at which a flow was served. New flows start
	// at floor, and idle flows are raised to it when they get a request while no
	// other flow has queued requests.
	floor float64
	// rate is the mean admitted cost per second.
	rate rate
	// outputShare is the mean fraction of MaxOutputTokens that requests
	// generated, by class; zero before the first request.
	outputShare [classCount]float64
}

// flow returns the flow of a workspace and creates it at the first request.
func (s *scheduler) flow(name ident.Workspace, limits *limits) *flow {
	f, ok := s.flows[name]
	if !ok {
		f = &flow{name: name, limits: limits, weight: 1, counter: s.floor}
		s.flows[name] = f
		s.flowList = append(s.flowList, f)
	}
	return f
}

// activate raises the counter of a flow without queued requests to the lowest
// counter among flows that have some, so that a workspace gains no credit while it
// is idle.
func (s *scheduler) activate(f *flow) {
	least, found := 0.0, false
	for _, other := range s.flowList {
		if other == f || other.length() == 0 {
			continue
		}
		if !found || other.counter < least {
			least, found = other.counter, true
		}
	}
	if !found {
		least = s.floor
	}
	f.counter = max(f.counter, least)
}

// chargeAdmitted charges the cost of an admitted request to its flow.
func (s *scheduler) chargeAdmitted(e *Entry, now time.Time) {
	s.floor = max(s.floor, e.flow.counter)
	e.flow.counter += e.cost / e.flow.weight
	s.rate.add(e.cost, now)
	e.flow.rate.add(e.cost, now)
}

// exceedsShare reports whether a workspace uses more than factor times its weighted
// share of the scheduler's rate.
func (s *scheduler) exceedsShare(f *flow, factor float64, now time.Time) bool {
	total := s.rate.at(now)
	weights := 0.0
	for _, other := range s.flowList {
		if other.rate.at(now) > total*idleFraction {
			weights += other.weight
		}
	}
	return f.rate.at(now) > factor*total*f.weight/max(minWeight, weights)
}

// recordOutput updates outputShare with the output of a request.
func (s *scheduler) recordOutput(e *Entry, output uint64) {
	share := min(1, float64(output)/float64(max(1, e.Request.MaxOutputTokens)))
	mean := &s.outputShare[e.class]
	if *mean == 0 {
		*mean = share
		return
	}
	*mean += (share - *mean) * outputShareSmoothing
}

// expectedOutput returns the expected number of output tokens of a request.
func (s *scheduler) expectedOutput(req *request.Request, class int) float64 {
	if s.outputShare[class] == 0 {
		return float64(req.MaxOutputTokens)
	}
	return s.outputShare[class] * float64(req.MaxOutputTokens)
}

// expectedWait returns how long a new request of a flow would wait at the
// scheduler's rate as of its last admission. Ahead of it are the flow's own queued requests and the
// requests of other flows that are served before their counters reach the counter
// at which the new request is served.
func (s *scheduler) expectedWait(f *flow, class int) time.Duration {
	if s.rate.mean <= 0 {
		return 0
	}
	before := f.costAhead(class)
	start := f.counter + before/f.weight
	for _, other := range s.flowList {
		if other != f {
			before += min(other.costAhead(class), max(0, start-other.counter)*other.weight)
		}
	}
	return min(maxRetryAfter, secondsToDuration(before/s.rate.mean))
}

// secondsToDuration converts seconds to a duration of at most maxRetryAfter.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
