package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/prefix"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// retryAfter is what a caller is told where no target takes new work.
const retryAfter = 2 * time.Second

// ModelRouter places model requests by their expected times.
type ModelRouter struct {
	opts Options

	mu sync.Mutex
	// ledgers holds the daemon's own sends by target.
	ledgers map[ident.Target]*ledger
	index   *prefix.Index
	// seen is the snapshot that refs was made for; refs are the ledgers of its
	// targets in the same order.
	seen *fleet.Snapshot
	refs []*ledger
	// daemons counts the daemons that send to the engines, as of that snapshot.
	daemons int
	// placed are the prompts that others are still to be told of.
	placed []backlog.Placed
	// away are the engines that others are still to be told of.
	away []backlog.Away
	// outlook, scores and depths are reused by each decision.
	outlook outlook
	scores  []score
	depths  [prefix.MaxEngines]int32
}

var _ Router = (*ModelRouter)(nil)

// NewModelRouter returns a router that has sent nothing yet.
func NewModelRouter(opts Options) *ModelRouter {
	return &ModelRouter{opts: opts, ledgers: make(map[ident.Target]*ledger), index: prefix.New()}
}

// Choose returns the engine that the whole request goes to, and counts it.
func (r *ModelRouter) Choose(req *request.Request, exclude []ident.Target) (*fleet.TargetState, error) {
	placement, err := r.place(req, exclude, false)
	return placement.Target, err
}

// Place returns where the request's prompt and answer are computed, and counts
// both. Done must be told of each of the placement's engines.
func (r *ModelRouter) Place(req *request.Request, exclude []ident.Target) (Placement, error) {
	return r.place(req, exclude, !r.opts.Off.Apart)
}

// Done uncounts a request.
func (r *ModelRouter) Done(req *request.Request, target ident.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own, ok := r.ledgers[target]; ok {
		own.done(req.ID)
	}
}

// PromptTime takes in how long an engine took for a prompt. It is told before
// Done.
func (r *ModelRouter) PromptTime(req *request.Request, target ident.Target, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, ok := r.ledgers[target]
	if !ok {
		return
	}
	if s, ok := own.computed(req.ID); ok {
		own.took(took.Seconds(), s)
	}
}

// CacheEvent takes in an event of an engine's prefix memory.
func (r *ModelRouter) CacheEvent(target ident.Target, event fleet.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Apply(target, event)
}

// Wait returns how long the request would wait at the engine that it would now
// be placed at, and the share of the engines' slots that are taken. Where no
// engine takes new work the wait is retryAfter.
func (r *ModelRouter) Wait(req *request.Request) (wait time.Duration, taken float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.score(r.refresh(), req, nil)
	prefill, decode := r.best(req, !r.opts.Off.Apart)
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

// Run returns how long the request would run at an idle engine that holds the
// most of its prompt, if its answer has so many tokens.
func (r *ModelRouter) Run(req *request.Request, output float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	knobs, now := r.opts.Knobs(), r.opts.Now()
	r.findDepths(req)
	least := -1.0
	for _, i := range snapshot.Model(req.Model) {
		state := &snapshot.Targets[i]
		if !takesNew(state, knobs, now) {
			continue
		}
		e := estimateOf(state, r.own(i), r.daemons, knobs, now)
		run := r.uncached(i, false, true, req, knobs, now)/e.prefillRate + output/e.decodeRate
		if least < 0 || run < least {
			least = run
		}
	}
	return time.Duration(max(0, least) * float64(time.Second))
}

// place scores the engines and takes the best.
func (r *ModelRouter) place(req *request.Request, exclude []ident.Target, apart bool) (Placement, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.refresh()
	r.score(snapshot, req, exclude)
	prefill, decode := r.best(req, apart)
	if prefill < 0 {
		return Placement{}, r.refusal(req)
	}
	s := &r.scores[prefill]
	placement := Placement{Target: &snapshot.Targets[s.target], Expected: Expected{
		Wait: duration(s.wait), Own: duration(s.own), Uncached: int(s.uncached), Present: s.occupied,
		Slowness: r.refs[s.target].slowness,
	}}
	if s.holder >= 0 {
		placement.Holder = &snapshot.Targets[s.holder]
	}
	now := r.opts.Now()
	keep := r.opts.Knobs().PromptMemory.D()
	r.refs[s.target].sent(send{
		request: req.ID, at: now, prefill: s.uncached, reckoned: s.wait + s.own,
		slowness: r.refs[s.target].assumedSlowness(), urgent: urgent(req),
	})
	takes := duration(s.wait + s.own)
	r.refs[s.target].prompts.add(req.BoundaryHashes(), now, takes, keep)
	r.note(placement.Target.Record.Target, req.BoundaryHashes(), takes)
	if keep == 0 {
		r.index.Expect(placement.Target.Record.Target, req.Prefix)
	}
	if decode >= 0 && decode != prefill {
		d := r.scores[decode].target
		placement.Decode = &snapshot.Targets[d]
		r.refs[d].sent(send{request: req.ID, at: now})
	}
	return placement, nil
}

// duration returns a number of seconds as a duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Report returns what the daemon tells others of its prompts, and forgets those
// that were placed since the last.
func (r *ModelRouter) Report() backlog.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := backlog.Report{Outstanding: r.outstanding(), Placed: r.placed, Away: r.away}
	r.placed, r.away = nil, nil
	return report
}

// Away has nothing sent to engines for a while, here and, by the next report, at
// the daemons that are told. It ends once an engine shows another role.
func (r *ModelRouter) Away(away []backlog.Away) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveOut(away)
	r.away = append(r.away, away...)
}

// LeaveOut has nothing sent to engines for a while, here alone.
func (r *ModelRouter) LeaveOut(away []backlog.Away) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveOut(away)
}

// leaveOut has nothing sent to engines for a while. They may be new, so that the
// newest view is taken in first.
func (r *ModelRouter) leaveOut(away []backlog.Away) {
	r.refresh()
	now := r.opts.Now()
	for _, a := range away {
		until := now.Add(time.Duration(a.Millis) * time.Millisecond)
		if own, ok := r.ledgers[a.Target]; ok && until.After(own.awayUntil) {
			own.awayUntil = until
		}
	}
}

// Heard takes in what another daemon told.
func (r *ModelRouter) Heard(report *backlog.Report) {
	placed := report.Placed
	if len(placed)+len(report.Away) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	now, keep := r.opts.Now(), r.opts.Knobs().PromptMemory.D()
	for i := range placed {
		if own, ok := r.ledgers[placed[i].Target]; ok {
			own.prompts.add(placed[i].Blocks, now, time.Duration(placed[i].Millis)*time.Millisecond, keep)
		}
	}
	r.leaveOut(report.Away)
}

// maxPlaced bounds the prompts that wait for the next report. Those beyond it
// are not told.
const maxPlaced = 256

// note has the others told of a prompt that was placed.
func (r *ModelRouter) note(target ident.Target, blocks []uint64, takes time.Duration) {
	if r.opts.Elsewhere != nil && len(blocks) > 0 && len(r.placed) < maxPlaced {
		r.placed = append(r.placed, backlog.Placed{Target: target, Blocks: blocks, Millis: takes.Milliseconds()})
	}
}

// outstanding returns the daemon's own prompts that were sent to engines and not
// seen computed, by engine.
func (r *ModelRouter) outstanding() []backlog.Outstanding {
	var sums []backlog.Outstanding
	for name, own := range r.ledgers {
		if len(own.pending) > 0 {
			sums = append(sums, backlog.Outstanding{Target: name, Urgent: own.urgent, Other: own.other})
		}
	}
	slices.SortFunc(sums, func(a, b backlog.Outstanding) int { return cmp.Compare(a.Target, b.Target) })
	return sums
}

// urgent reports whether a request is of the most urgent rank, which engines
// serve before others.
func urgent(req *request.Request) bool { return req.Host != "" && req.Urgency == 0 }

// refresh takes a new snapshot in and returns it.
func (r *ModelRouter) refresh() *fleet.Snapshot {
	snapshot := r.opts.View.Snapshot()
	if snapshot == r.seen {
		return snapshot
	}
	r.seen = snapshot
	r.daemons = r.countDaemons()
	r.refs = r.refs[:0]
	for i := range snapshot.Targets {
		r.refs = append(r.refs, r.takeIn(&snapshot.Targets[i]))
	}
	if len(r.ledgers) > 2*len(snapshot.Targets) {
		r.forget(snapshot)
	}
	return snapshot
}

// takeIn brings the ledger of a target up to its last report.
func (r *ModelRouter) takeIn(state *fleet.TargetState) *ledger {
	name := state.Record.Target
	own, ok := r.ledgers[name]
	if !ok {
		own = &ledger{slot: -1, hash: xxhash.Sum64String(string(name))}
		if state.Record.Service == "" {
			own.slot = r.index.Slot(name)
		}
		r.ledgers[name] = own
	}
	load := &state.Load
	if own.sequence != 0 && load.Incarnation != own.incarnation {
		r.index.Restart(name)
	}
	if load.CacheLimit > 0 && own.sequence == 0 {
		r.index.SetLimit(name, load.CacheLimit)
	}
	own.reported(load.Incarnation, load.Sequence, takenAt(load, state.LoadAt))
	if load.Role != own.role {
		own.role, own.awayUntil = load.Role, time.Time{}
	}
	return own
}

// forget drops the targets that left the view.
func (r *ModelRouter) forget(snapshot *fleet.Snapshot) {
	for name := range r.ledgers {
		if snapshot.Target(name) == nil {
			delete(r.ledgers, name)
			r.index.Forget(name)
		}
	}
}

// own returns the ledger of a target of the snapshot that was last taken in.
func (r *ModelRouter) own(i int) *ledger {
	if r.opts.Off.OwnSends {
		return &ledger{}
	}
	return r.refs[i]
}

// countDaemons returns how many daemons send to the engines.
func (r *ModelRouter) countDaemons() int {
	if r.opts.Off.Unseen || r.opts.Daemons == nil {
		return 1
	}
	return max(1, r.opts.Daemons())
}
