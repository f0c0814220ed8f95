package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// ProcessChecker is implemented by routers that know at which targets another process may run
// than the one that wrote the target's entry. Its software version is then not known.
type ProcessChecker interface {
	// Restarted returns the targets whose process may be another one.
	Restarted() []ident.Target
	// SameProcess reports whether a target's incarnation still runs, as far as is known.
	SameProcess(target ident.Target, incarnation ident.Incarnation) bool
	// ObserveLostConnection records that a connection to a target's incarnation broke while it
	// worked on a request. A probe shows whether its process has ended.
	ObserveLostConnection(target ident.Target, incarnation ident.Incarnation, address string)
}

var _ ProcessChecker = (*CombinedRouter)(nil)

// Restarted returns the targets that refused connections to this daemon or a linked one, and
// whose entry was not read since.
func (c *CombinedRouter) Restarted() []ident.Target { return c.Models.opts.restarts.targets() }

// SameProcess reports whether the view has the target's incarnation, or no longer has the
// target, and no connection to it was refused since its entry was read.
func (c *CombinedRouter) SameProcess(target ident.Target, incarnation ident.Incarnation) bool {
	state := c.Models.opts.View.Snapshot().Target(target)
	if state != nil && state.Incarnation != incarnation {
		return false
	}
	return !slices.Contains(c.Restarted(), target)
}

// ObserveLostConnection has the target probed immediately, unless it is being probed.
func (c *CombinedRouter) ObserveLostConnection(target ident.Target, incarnation ident.Incarnation, address string) {
	c.Models.opts.restarts.examine(Probe{Target: target, Incarnation: incarnation, Address: address, Lost: true})
	c.Models.opts.absences.wakeProber()
}

// entryDelay is how long after a process accepts connections its entry may still be missing
// from the store.
const entryDelay = identityWait

// ending is a refused connection: the process that wrote the target's entry had ended then.
type ending struct {
	incarnation ident.Incarnation
	refusedAt   time.Time
}

// restarts holds the targets whose process has ended since it wrote the entry in the view, so
// that another one may run there. It is shared by the routers of a daemon and safe for concurrent
// use.
type restarts struct {
	view fleet.View
	now  func() time.Time
	// viewAge returns an upper bound of the view's age, or false before it was first read.
	viewAge func() (time.Duration, bool)
	onEnded func(target ident.Target, incarnation ident.Incarnation)
	// count is the number of endings, so that a check costs nothing while there are none.
	count atomic.Int64

	mu      sync.Mutex
	endings map[ident.Target]ending
	// due are probes of targets to which connections were lost, and examined the targets of
	// these and of the probes that are being made.
	due      []Probe
	examined map[ident.Target]bool
	// unsent are the refusals that were not sent to other daemons yet.
	unsent []backlog.ProbeResult
}

// newRestarts returns restarts without any target.
func newRestarts(opts *Options) *restarts {
	return &restarts{
		view: opts.View, now: opts.Now, viewAge: opts.viewAge, onEnded: opts.OnEnded,
		endings: make(map[ident.Target]ending), examined: make(map[ident.Target]bool),
	}
}

// examine schedules a probe, unless its target is examined already.
func (r *restarts) examine(probe Probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.examined[probe.Target] {
		r.examined[probe.Target] = true
		r.due = append(r.due, probe)
	}
}

// probeDue reports whether a probe is due.
func (r *restarts) probeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.due) > 0
}

// takeProbes returns the probes that are due.
func (r *restarts) takeProbes() []Probe {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.due
	r.due = nil
	return due
}

// observeProbe records the result of a probe. One that was neither accepted nor refused counts
// for this daemon alone, which may be cut off from the target.
func (r *restarts) observeProbe(probe Probe, accepted bool) {
	if probe.Refused {
		r.observeRefusal(probe.Target, probe.Incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if probe.Lost {
		delete(r.examined, probe.Target)
	}
	if !accepted && !probe.Refused {
		r.add(probe.Target, probe.Incarnation)
	}
}

// observeRefusal records that a connection to a target was refused, and has other daemons know
// it.
func (r *restarts) observeRefusal(target ident.Target, incarnation ident.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, isKnown := r.endings[target]
	r.add(target, incarnation)
	if isKnown && r.now().Sub(known.refusedAt) < entryDelay {
		return
	}
	if len(r.unsent) < maxUnsent {
		r.unsent = append(r.unsent, backlog.ProbeResult{Target: target, Incarnation: incarnation, Refused: true})
	}
}

// takeUnsent returns the refusals that were not sent yet.
func (r *restarts) takeUnsent() []backlog.ProbeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	unsent := r.unsent
	r.unsent = nil
	return unsent
}

// learn records the refusals among other daemons' results of probes.
func (r *restarts) learn(results []backlog.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		if result.Refused {
			r.add(result.Target, result.Incarnation)
		}
	}
}

// add records that a connection to a target's incarnation, or a later one, was refused. r.mu
// must be held.
func (r *restarts) add(target ident.Target, incarnation ident.Incarnation) {
	if state := r.view.Snapshot().Target(target); state != nil {
		incarnation = max(incarnation, state.Incarnation)
	}
	if known, ok := r.endings[target]; (!ok || known.incarnation < incarnation) && r.onEnded != nil {
		r.onEnded(target, incarnation)
	}
	r.endings[target] = ending{incarnation: incarnation, refusedAt: r.now()}
	r.count.Store(int64(len(r.endings)))
}

// targets returns the targets whose process ended after it had written the entry in the view.
func (r *restarts) targets() (targets []ident.Target) {
	if r.count.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.view.Snapshot()
	for target, ended := range r.endings {
		if r.isSettled(ended, snapshot.Target(target)) {
			delete(r.endings, target)
			continue
		}
		targets = append(targets, target)
	}
	r.count.Store(int64(len(r.endings)))
	return targets
}

// isSettled reports whether the view states which process runs: a later incarnation, or the same
// one in entries that were read so long after the refusal that another process would have
// written its own. r.mu must be held.
func (r *restarts) isSettled(ended ending, state *fleet.TargetState) bool {
	now := r.now()
	if state == nil {
		return now.Sub(ended.refusedAt) >= departedRetention
	}
	if state.Incarnation > ended.incarnation {
		return true
	}
	age, read := r.viewAge()
	return read && now.Add(-age).Sub(ended.refusedAt) >= entryDelay
}
