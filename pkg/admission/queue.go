package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// chargeEvery is the time between looks at the use elsewhere.
	chargeEvery = 100 * time.Millisecond
	// leastRetry is the shortest time to come back after that is told.
	leastRetry = time.Second
)

// Queue decides which requests may run and when. It is not safe for
// concurrent use.
//
// Among the waiting requests of a lane, lookups go first, then interactive
// ones, then deferrable ones; within a class goes the workspace that was
// served the least for its weight. A deferrable request whose deadline comes
// near is treated as interactive.
type Queue struct {
	opts   Options
	lanes  map[laneKey]*lane
	order  []*lane
	limits map[ident.Workspace]*limits
	// heads is reused by each look for the next request.
	heads []*Entry
	// chargedAt is when the use elsewhere was last looked at.
	chargedAt time.Time
	// daemons counts the fleet's daemons, this one included.
	daemons int
}

// laneKey names a lane: one of the two is empty.
type laneKey struct {
	model   ident.Model
	service ident.Service
}

// NewQueue returns an empty queue.
func NewQueue(opts Options) *Queue {
	return &Queue{opts: opts, lanes: make(map[laneKey]*lane), limits: make(map[ident.Workspace]*limits), daemons: 1}
}

// Offer takes a request in, or refuses it. The request may run once a later
// Pump returns it.
func (q *Queue) Offer(req *request.Request) (*Entry, error) {
	now, knobs := q.opts.Now(), q.opts.Knobs(req)
	q.charge(now)
	bounds := q.bounds(req.Workspace)
	bounds.refill(now, knobs, q.daemons)
	line := q.lane(laneKey{model: req.Model, service: req.Service})
	part := line.share(req.Workspace, bounds)
	e := &Entry{Request: req, lane: line, share: part, class: q.class(req), at: now, cost: costOf(req, knobs)}
	e.run = q.opts.Gate.Run(req, line.expectedOutput(req, e.class))
	if part.length() == 0 {
		part.weight = max(leastWeight, q.opts.Weight(req.Workspace))
		line.wake(part)
	}
	if err := q.check(e, knobs, now); err != nil {
		return nil, err
	}
	if err := bounds.take(req, knobs, q.daemons); err != nil {
		return nil, err
	}
	part.push(e)
	return e, nil
}

// leastWeight stands in for a weight that is not above zero.
const leastWeight = 1e-6

// check refuses a request that finds the queue full or that can't be answered
// by its deadline.
func (q *Queue) check(e *Entry, knobs *config.AdmissionKnobs, now time.Time) error {
	wait := e.lane.expectedWait(e.share, e.class)
	if int64(e.share.length()) >= knobs.QueueLimit && e.class != lookups {
		return fault.New(fault.Limited, "too many requests of the workspace are waiting",
			"try again after the time in Retry-After").After(max(leastRetry, wait))
	}
	if q.opts.Off.Shedding || !e.late(now.Add(wait)) {
		return nil
	}
	return refusal(wait)
}

// refusal is the error of a request that can't be answered by its deadline.
func refusal(wait time.Duration) *fault.Error {
	return fault.New(fault.Limited, "the request can't be answered by its deadline at the present load",
		"try again after the time in Retry-After, or with a later deadline").After(max(leastRetry, wait))
}

// late reports whether a request that starts then ends past its deadline.
func (e *Entry) late(start time.Time) bool {
	if e.Request.Deadline.IsZero() {
		return false
	}
	return start.Add(e.run).After(e.Request.Deadline)
}

// Pump returns the requests that may run now and those that are refused.
func (q *Queue) Pump() (run, refused []*Entry) {
	now := q.opts.Now()
	q.charge(now)
	for _, line := range q.order {
		refused = q.sweep(line, now, refused)
		run = q.serve(line, now, run)
	}
	return run, refused
}

// serve lets at most one request of each class of a lane through, so that its
// send shows at the gate before the next is looked at.
func (q *Queue) serve(line *lane, now time.Time, run []*Entry) []*Entry {
	for class := range classCount {
		e := q.next(line, class)
		if e == nil {
			continue
		}
		e.share.remove(e)
		e.state = admitted
		e.share.limits.running++
		line.serve(e, now)
		run = append(run, e)
	}
	return run
}

// Release takes back the leave of a request that ran, and corrects its charge
// by what it used.
func (q *Queue) Release(e *Entry, figures request.TokenUsage) {
	if e.state != admitted {
		return
	}
	e.state = ended
	e.share.limits.running--
	if figures == (request.TokenUsage{}) && e.Request.Service == "" {
		return
	}
	e.lane.used(e, figures.OutputTokens)
	knobs := q.opts.Knobs(e.Request)
	cost := float64(figures.PromptTokens) + knobs.OutputTokenCost*float64(figures.OutputTokens)
	e.share.counter += (max(callCost, cost) - e.cost) / e.share.weight
	e.share.limits.add(0, float64(figures.PromptTokens+figures.OutputTokens)-tokensOf(e.Request))
}

// Cancel takes out a waiting request whose caller left.
func (q *Queue) Cancel(e *Entry) {
	if e.state != waiting {
		return
	}
	e.share.remove(e)
	e.state = ended
	e.share.limits.add(-1, -tokensOf(e.Request))
}

// class returns the position of the request's class.
func (q *Queue) class(req *request.Request) int {
	if q.opts.Off.Classes {
		return interactives
	}
	return classOf(req.Class)
}

// lane returns a lane, made at its first request.
func (q *Queue) lane(key laneKey) *lane {
	line, ok := q.lanes[key]
	if !ok {
		line = &lane{shares: make(map[ident.Workspace]*share)}
		q.lanes[key] = line
		q.order = append(q.order, line)
	}
	return line
}

// bounds returns a workspace's limits, made at its first request.
func (q *Queue) bounds(name ident.Workspace) *limits {
	l, ok := q.limits[name]
	if !ok {
		l = &limits{}
		q.limits[name] = l
	}
	return l
}

// callCost is the least cost of a request, in prompt tokens.
const callCost = 1

// costOf is the cost that a request is expected to have, in prompt tokens.
func costOf(req *request.Request, knobs *config.AdmissionKnobs) float64 {
	return max(callCost, float64(req.PromptTokens)+knobs.OutputTokenCost*float64(req.MaxOutputTokens))
}

// Waiting counts the requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, line := range q.order {
		for _, part := range line.order {
			n += part.length()
		}
	}
	return n
}
