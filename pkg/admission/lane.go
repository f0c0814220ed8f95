package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// idlePart is the part of a lane's rate below which a workspace counts as
	// idle.
	idlePart = 0.001
	// shareWeight is the part of one request in the mean output share.
	shareWeight = 0.05
)

// lane is the queue before the engines of one model or the replicas of one
// service.
type lane struct {
	shares map[ident.Workspace]*share
	// order lists the shares in order of their first request, so that
	// decisions don't depend on the order of a map.
	order []*share
	// floor is the counter of the share that was served last; a workspace
	// that comes back starts no lower.
	floor float64
	// rate is the mean cost admitted a second.
	rate rate
	// outputShare is the mean share of the bound on its output that a request
	// used, by class; zero before the first.
	outputShare [classCount]float64
}

// share returns a workspace's part, made at its first request.
func (l *lane) share(name ident.Workspace, limits *limits) *share {
	s, ok := l.shares[name]
	if !ok {
		s = &share{name: name, limits: limits, weight: 1, counter: l.floor}
		l.shares[name] = s
		l.order = append(l.order, s)
	}
	return s
}

// wake lifts the counter of a workspace that had nothing waiting to that of
// the least served one that has, so that idling saves up no claim.
func (l *lane) wake(s *share) {
	least, found := 0.0, false
	for _, other := range l.order {
		if other == s || other.length() == 0 {
			continue
		}
		if !found || other.counter < least {
			least, found = other.counter, true
		}
	}
	if !found {
		least = l.floor
	}
	s.counter = max(s.counter, least)
}

// serve charges an admitted request.
func (l *lane) serve(e *Entry, now time.Time) {
	l.floor = max(l.floor, e.share.counter)
	e.share.counter += e.cost / e.share.weight
	l.rate.add(e.cost, now)
	e.share.rate.add(e.cost, now)
}

// excess reports whether a workspace takes more than factor times its weight's
// part of what the lane serves.
func (l *lane) excess(s *share, factor float64, now time.Time) bool {
	total := l.rate.at(now)
	weights := 0.0
	for _, other := range l.order {
		if other.rate.at(now) > total*idlePart {
			weights += other.weight
		}
	}
	return s.rate.at(now) > factor*total*s.weight/max(leastWeight, weights)
}

// used takes in how much of its bound a request generated.
func (l *lane) used(e *Entry, output uint64) {
	share := min(1, float64(output)/float64(max(1, e.Request.MaxOutputTokens)))
	mean := &l.outputShare[e.class]
	if *mean == 0 {
		*mean = share
		return
	}
	*mean += (share - *mean) * shareWeight
}

// expectedOutput returns how many tokens a request is expected to generate.
func (l *lane) expectedOutput(req *request.Request, class int) float64 {
	if l.outputShare[class] == 0 {
		return float64(req.MaxOutputTokens)
	}
	return l.outputShare[class] * float64(req.MaxOutputTokens)
}

// expectedWait returns how long a new request of a share would wait at the
// lane's present rate: for the share's own requests before it, and for those of
// the others that are served until their counters reach the one that it starts
// at.
func (l *lane) expectedWait(s *share, class int) time.Duration {
	if l.rate.mean <= 0 {
		return 0
	}
	before := s.ahead(class)
	start := s.counter + before/s.weight
	for _, other := range l.order {
		if other != s {
			before += min(other.ahead(class), max(0, start-other.counter)*other.weight)
		}
	}
	return min(longWait, seconds(before/l.rate.mean))
}

// seconds makes a duration of a number of seconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, longWait.Seconds()) * float64(time.Second))
}
