package admission

import (
	"math"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// rateConstant is the time constant of a lane's mean rate of service.
	rateConstant = 5 * time.Second
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
	// rate is the mean cost admitted a second, at rateAt.
	rate   float64
	rateAt time.Time
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
	l.decay(now)
	l.rate += e.cost / rateConstant.Seconds()
}

// decay brings the mean rate up to now.
func (l *lane) decay(now time.Time) {
	if !l.rateAt.IsZero() {
		l.rate *= math.Exp(-now.Sub(l.rateAt).Seconds() / rateConstant.Seconds())
	}
	l.rateAt = now
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
	if l.rate <= 0 {
		return 0
	}
	before := s.ahead(class)
	start := s.counter + before/s.weight
	for _, other := range l.order {
		if other != s {
			before += min(other.ahead(class), max(0, start-other.counter)*other.weight)
		}
	}
	return min(longWait, seconds(before/l.rate))
}

// seconds makes a duration of a number of seconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, longWait.Seconds()) * float64(time.Second))
}
