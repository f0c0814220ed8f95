package admission

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// remoteChargeInterval is the time between charges of the other daemons' usage.
	remoteChargeInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest delay that a refusal advises, except for the
	// rate limits, which return the actual wait.
	minRetryAfter = time.Second
)

// Queue decides which requests may run and when. It is not safe for concurrent
// use.
//
// Among the waiting requests for a model or service, lookups go first, then
// interactive requests, then deferrable ones. Within a class, the workspace that
// was served the least relative to its weight goes first. A deferrable request
// whose deadline is near is treated as interactive.
type Queue struct {
	opts          Options
	schedulers    map[schedulerKey]*scheduler
	schedulerList []*scheduler
	limits        map[ident.Workspace]*limits
	// candidates is a buffer that nextEntry reuses.
	candidates []*Entry
	// lastRemoteCharge is when the other daemons' usage was last charged.
	lastRemoteCharge time.Time
	// daemons is the number of daemons in the fleet, including this one.
	daemons int
}

// schedulerKey identifies a scheduler by its model or its service.
type schedulerKey struct {
	model   ident.Model
	service ident.Service
}

// NewQueue returns an empty queue.
func NewQueue(opts Options) *Queue {
	return &Queue{opts: opts, schedulers: make(map[schedulerKey]*scheduler), limits: make(map[ident.Workspace]*limits), daemons: 1}
}

// Offer adds a request to the queue or refuses it. A later Dispatch admits or
// refuses the queued request.
func (q *Queue) Offer(req *request.Request) (*Entry, error) {
	now, knobs := q.opts.Now(), q.opts.Knobs(req)
	q.chargeRemote(now)
	lim := q.limitsFor(req.Workspace)
	lim.refill(now, knobs, q.daemons)
	sched := q.scheduler(schedulerKey{model: req.Model, service: req.Service})
	f := sched.flow(req.Workspace, lim)
	e := &Entry{Request: req, scheduler: sched, flow: f, class: q.class(req), arrivedAt: now, cost: expectedCost(req, knobs)}
	e.minRunTime = q.opts.Gate.MinRunTime(req, sched.expectedOutput(req, e.class))
	if f.length() == 0 {
		f.weight = max(minWeight, q.opts.Weight(req.Workspace))
		sched.activate(f)
	}
	if err := q.check(e, knobs, now); err != nil {
		return nil, err
	}
	if err := lim.take(req, knobs, q.daemons); err != nil {
		return nil, err
	}
	f.push(e)
	return e, nil
}

// minWeight is the minimum weight of a workspace, so that costs can be divided by
// weights.
const minWeight = 1e-6

// check refuses a request if the workspace's queue is full or if the request would
// miss its deadline. Lookups are exempt from the queue limit.
func (q *Queue) check(e *Entry, knobs *config.AdmissionKnobs, now time.Time) error {
	wait := e.scheduler.expectedWait(e.flow, e.class)
	if int64(e.flow.length()) >= knobs.QueueLimit && e.class != classLookup {
		return fault.New(fault.Limited, "the workspace has too many queued requests",
			"send the request again after the time in Retry-After").WithRetryAfter(max(minRetryAfter, wait))
	}
	if q.opts.Disabled.Shedding || !e.missesDeadline(now.Add(wait)) {
		return nil
	}
	return deadlineRefusal(wait)
}

// deadlineRefusal returns the error for a request that would miss its deadline.
func deadlineRefusal(wait time.Duration) *fault.Error {
	return fault.New(fault.Limited, "the request can't be answered by its deadline at the current load",
		"send the request again after the time in Retry-After, or with a later deadline").WithRetryAfter(max(minRetryAfter, wait))
}

// missesDeadline reports whether the request ends after its deadline if it starts at
// start.
func (e *Entry) missesDeadline(start time.Time) bool {
	if e.Request.Deadline.IsZero() {
		return false
	}
	return start.Add(e.minRunTime).After(e.Request.Deadline)
}

// Dispatch removes and returns the requests that may run now and those that are
// refused.
func (q *Queue) Dispatch() (run, refused []*Entry) {
	now := q.opts.Now()
	q.chargeRemote(now)
	for _, sched := range q.schedulerList {
		refused = q.sweep(sched, now, refused)
		run = q.admitNext(sched, now, run)
	}
	return run, refused
}

// admitNext admits at most one request of each class, so that the gate's load
// includes an admitted request before the next one of its class is considered.
func (q *Queue) admitNext(sched *scheduler, now time.Time, run []*Entry) []*Entry {
	for class := range classCount {
		e := q.nextEntry(sched, class)
		if e == nil {
			continue
		}
		e.flow.remove(e)
		e.state = admitted
		e.flow.limits.running++
		sched.chargeAdmitted(e, now)
		run = append(run, e)
	}
	return run
}

// Release ends an admitted request and corrects its charge to the actual usage. A
// model request that reports no usage keeps its expected charge.
func (q *Queue) Release(e *Entry, usage request.TokenUsage) {
	if e.state != admitted {
		return
	}
	e.state = ended
	e.flow.limits.running--
	if usage == (request.TokenUsage{}) && e.Request.Service == "" {
		return
	}
	e.scheduler.recordOutput(e, usage.OutputTokens)
	knobs := q.opts.Knobs(e.Request)
	cost := float64(usage.PromptTokens) + knobs.OutputTokenCost*float64(usage.OutputTokens)
	e.flow.counter += (max(minCost, cost) - e.cost) / e.flow.weight
	e.flow.limits.charge(0, float64(usage.PromptTokens+usage.OutputTokens)-expectedTokens(e.Request))
}

// Cancel removes a waiting request and returns its tokens to the rate limits. It
// does nothing for other requests.
func (q *Queue) Cancel(e *Entry) {
	if e.state != waiting {
		return
	}
	e.flow.remove(e)
	e.state = ended
	e.flow.limits.charge(-1, -expectedTokens(e.Request))
}

// class returns the index of the request's class.
func (q *Queue) class(req *request.Request) int {
	if q.opts.Disabled.Classes {
		return classInteractive
	}
	return classIndex(req.Class)
}

// scheduler returns the scheduler for a key and creates it at the first request.
func (q *Queue) scheduler(key schedulerKey) *scheduler {
	sched, ok := q.schedulers[key]
	if !ok {
		sched = &scheduler{flows: make(map[ident.Workspace]*flow)}
		q.schedulers[key] = sched
		q.schedulerList = append(q.schedulerList, sched)
	}
	return sched
}

// limitsFor returns the limits of a workspace and creates them at its first request.
func (q *Queue) limitsFor(name ident.Workspace) *limits {
	l, ok := q.limits[name]
	if !ok {
		l = &limits{}
		q.limits[name] = l
	}
	return l
}

// minCost is the minimum cost of a request, in prompt tokens.
const minCost = 1

// expectedCost returns the expected cost of a request, in prompt tokens.
func expectedCost(req *request.Request, knobs *config.AdmissionKnobs) float64 {
	return max(minCost, float64(req.PromptTokens)+knobs.OutputTokenCost*float64(req.MaxOutputTokens))
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, sched := range q.schedulerList {
		for _, f := range sched.flowList {
			n += f.length()
		}
	}
	return n
}
