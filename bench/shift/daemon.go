package shift

import (
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

const (
	// pumpEvery is the time between a daemon's looks at its queue.
	pumpEvery = 25 * time.Millisecond
	// maxAttempts bounds the sends of an idempotent request.
	maxAttempts = 3
)

// daemon is one process of the system before the fakes.
type daemon struct {
	run    *run
	number int
	view   *view
	router routing.Router
	models *routing.ModelRouter
	queue  *admission.Queue
	// entries are the requests that wait or run, by their entry.
	entries map[*admission.Entry]*attempt
	// pumping is set while a look at the queue is planned.
	pumping bool
	// used counts what the daemon admitted, by workspace.
	used map[ident.Workspace]*admission.Consumption
}

// attempt is one request on its way.
type attempt struct {
	arrival *arrival
	entry   *admission.Entry
	tries   int
	exclude []ident.Target
	job     *job
	// placed are the targets that hold it in the router's count.
	placed []ident.Target
	// onReclaimable and lost tell where it ran and whether its target went.
	onReclaimable bool
	lost          bool
}

// newDaemon returns a daemon that runs a policy.
func newDaemon(r *run, number int) *daemon {
	d := &daemon{
		run: r, number: number, entries: make(map[*admission.Entry]*attempt),
		view: &view{lag: 200*time.Millisecond + time.Duration(number)*25*time.Millisecond + r.trace.reportLag},
		used: make(map[ident.Workspace]*admission.Consumption),
	}
	d.view.refresh(r)
	now := func() time.Time { return r.sim.wall() }
	switch r.policy.baseline {
	case roundRobin:
		d.router = routing.NewRoundRobin(d.view, number*5)
	case leastOutstanding:
		d.router = routing.NewLeastOutstanding(d.view)
	case ours:
		both := routing.New(routing.Options{
			View: d.view, Domain: r.deployment.domains[number%len(r.deployment.domains)], Now: now,
			Daemons: func() int { return daemonCount },
			Knobs:   func() *config.RoutingKnobs { return &r.knobs.Routing },
			Random:  rand.New(rand.NewPCG(r.seed, uint64(1000+number))), Off: r.policy.routing,
		})
		d.router, d.models = both, both.Models
		d.queue = admission.NewQueue(admission.Options{
			Gate: both, RemoteUsage: &elsewhere{daemon: d}, Now: now, Off: r.policy.admission,
			Knobs:  func(*request.Request) *config.AdmissionKnobs { return &r.knobs.Admission },
			Weight: r.weight,
		})
	}
	return d
}

// receive takes a caller's request.
func (d *daemon) receive(a *arrival) {
	t := &attempt{arrival: a}
	if d.queue == nil {
		d.send(t)
		return
	}
	entry, err := d.queue.Offer(a.req)
	if err != nil {
		d.run.refused(t)
		return
	}
	t.entry = entry
	d.entries[entry] = t
	d.pump()
}

// pump sends what the queue lets through, until it lets nothing more.
func (d *daemon) pump() {
	for {
		admitted, refused := d.queue.Dispatch()
		for _, e := range refused {
			d.run.refused(d.entries[e])
			delete(d.entries, e)
		}
		for _, e := range admitted {
			d.note(e.Request, 1)
			d.send(d.entries[e])
		}
		if len(admitted) == 0 {
			break
		}
	}
	if d.pumping || d.queue.Waiting() == 0 {
		return
	}
	d.pumping = true
	d.run.sim.after(pumpEvery, func() {
		d.pumping = false
		d.pump()
	})
}

// note counts an admitted request for the other daemons.
func (d *daemon) note(req *request.Request, running int) {
	use, ok := d.used[req.Workspace]
	if !ok {
		use = &admission.Consumption{}
		d.used[req.Workspace] = use
	}
	use.Running += running
	if running > 0 {
		use.Requests++
		use.Tokens += uint64(req.PromptTokens + req.MaxOutputTokens)
	}
}

// send makes one attempt.
func (d *daemon) send(t *attempt) {
	t.tries++
	req := t.arrival.req
	placement, err := d.place(req, t.exclude)
	if err != nil {
		d.end(t, false)
		return
	}
	t.placed = append(t.placed[:0], placement.Target.Record.Target)
	if req.Service != "" {
		p := d.run.replicaNamed(placement.Target.Record.Target)
		p.submit(call{run: t.arrival.kind.run, done: func() { d.finished(t, false) }})
		return
	}
	t.job = &job{req: req, class: classOf(req.Class), output: float64(max(1, t.arrival.output)), done: func(failed bool) { d.finished(t, failed) }}
	t.job.move = func() { d.move(t) }
	if placement.Decode != nil {
		t.placed = append(t.placed, placement.Decode.Record.Target)
		t.job.decode = d.run.engineNamed(placement.Decode.Record.Target)
	}
	e := d.run.engineNamed(placement.Target.Record.Target)
	t.onReclaimable = t.onReclaimable || e.reclaimable() || (t.job.decode != nil && t.job.decode.reclaimable())
	e.submit(t.job)
}

// place asks the router.
func (d *daemon) place(req *request.Request, exclude []ident.Target) (routing.Placement, error) {
	if d.models != nil && req.Service == "" {
		return d.models.Place(req, exclude)
	}
	target, err := d.router.Choose(req, exclude)
	return routing.Placement{Target: target}, err
}

// classOf returns a class's priority at engines.
func classOf(class ident.Class) int {
	switch class {
	case ident.ClassLookup:
		return 0
	case ident.ClassDeferrable:
		return classes - 1
	default:
		return 1
	}
}

// finished takes an attempt's end.
func (d *daemon) finished(t *attempt, failed bool) {
	for _, target := range t.placed {
		d.router.Done(t.arrival.req, target)
	}
	if !failed {
		d.end(t, true)
		return
	}
	t.lost = true
	t.exclude = append(t.exclude, t.placed...)
	if t.tries < maxAttempts && t.arrival.req.Idempotent && d.run.sim.now < t.arrival.at+t.arrival.kind.deadline {
		d.send(t)
		return
	}
	d.end(t, false)
}

// end settles a request.
func (d *daemon) end(t *attempt, answered bool) {
	d.run.ended(t, answered)
	if t.entry == nil {
		return
	}
	figures := request.TokenUsage{}
	if answered && t.arrival.req.Service == "" {
		figures = request.TokenUsage{PromptTokens: uint64(t.arrival.req.PromptTokens), OutputTokens: uint64(max(1, t.arrival.output))}
	}
	d.note(t.arrival.req, -1)
	d.queue.Release(t.entry, figures)
	delete(d.entries, t.entry)
	d.pump()
}

// event hands an engine's cache events on.
func (d *daemon) event(target ident.Target, events []fleet.CacheEvent) {
	if d.models == nil {
		return
	}
	for _, event := range events {
		d.models.ApplyCacheEvent(target, event)
	}
}
