package routing

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
)

// Options configures a router.
type Options struct {
	View fleet.View
	// ViewAge returns an upper bound of the view's age, or false before it was first read.
	// Nil means that the view is never behind.
	ViewAge func() (time.Duration, bool)
	// Domain is the daemon's own failure domain.
	Domain ident.FailureDomain
	// Knobs returns the current knobs; it is called at each decision.
	Knobs func() *config.RoutingKnobs
	Now   func() time.Time
	// Daemons returns the number of serving daemons, this one included.
	Daemons func() int
	// PeerBacklog returns the prompt tokens that the daemons which report to
	// this one have outstanding at an engine. Nil means that they are not known.
	PeerBacklog func(target ident.Target) backlog.Outstanding
	// ReportingShare returns the share of the other daemons that report where
	// they place prompts, from 0 to 1. Nil means that all do.
	ReportingShare func() float64
	// OnEjected is called when a failing target is ejected for a while, with
	// its number of consecutive failures. It is called with the router's lock
	// held and may be nil.
	OnEjected func(target ident.Target, failures int)
	// OnNotice is called when a target states something about itself that changes
	// what may be sent to it. It must not block or call the router, and may be nil.
	OnNotice func(target ident.Target, notice fleet.TargetNotice)
	// OnPresence is called when a target becomes absent or is back. It must not block or
	// call the router, and may be nil.
	OnPresence func(change PresenceChange)
	// OnEnded is called when the process of a target's incarnation is first seen to have ended.
	// It must not block or call the router, and may be nil.
	OnEnded func(target ident.Target, incarnation ident.Incarnation)
	// PrefillTakesPromptsOnly is set if engines with the role Prefill refuse whole
	// requests, so that none is sent there even if the model has no other engine.
	PrefillTakesPromptsOnly bool
	// Random draws among near-equal engines and among replicas; the router's
	// lock guards it.
	Random *rand.Rand
	// Limits holds the limits that targets state. Nil means that this daemon is the
	// only one.
	Limits *targetlimit.Table
	// Capacity holds what is known about the speed and the limits of replicas. Nil means
	// that the router tracks them by its own requests alone.
	Capacity *capacity.Book
	// Disabled disables parts of the router; it is for benchmarks only.
	Disabled DisabledParts
	// notices, restarts and absences are shared by the routers of a daemon.
	notices  *targetNotices
	restarts *restarts
	absences *absences
}

// ensureShared creates notices and absences if the router shares none.
func (o *Options) ensureShared() {
	if o.Capacity == nil {
		o.Capacity = capacity.NewBook(nil)
	}
	if o.notices == nil {
		o.notices = newTargetNotices(o)
		if o.Limits == nil {
			o.Limits = targetlimit.New(targetlimit.Options{Now: o.Now, Random: o.newRandom()})
		}
		o.restarts = newRestarts(o)
		o.absences = newAbsences(o)
	}
}

// viewAge is ViewAge, if it is set.
func (o *Options) viewAge() (time.Duration, bool) {
	if o.ViewAge == nil {
		return 0, true
	}
	return o.ViewAge()
}

// acceptsNewWork reports whether new work may be sent to a target, by the view, by
// whether the target is there and by what it stated about itself. Presence is checked
// first: its check may begin a gradual return.
func (o *Options) acceptsNewWork(state *fleet.TargetState, knobs *config.RoutingKnobs, now time.Time) bool {
	return acceptsNewWork(state, knobs, now) && o.checkTarget(state) == nil
}

// newRandom returns a random source of its own, for a part with its own lock.
func (o *Options) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))
}

// checkTarget returns why nothing new may be sent to a target of the view, by its absence,
// its notices and its limit, or nil.
func (o *Options) checkTarget(state *fleet.TargetState) error {
	if err := o.absences.check(state); err != nil {
		return err
	}
	if err := o.notices.check(state.Record.Target, state.Incarnation); err != nil {
		return err
	}
	return limitError(o.Limits.Wait(state.Record.Target, state.Incarnation))
}

// withheldError returns the error if targets of a model or service are withheld for a time,
// or nil. The given targets are those of the view that could take the request.
func (o *Options) withheldError(snapshot *fleet.Snapshot, targets []int, serves string) error {
	withheld := o.earliestEnd(snapshot, targets)
	wait := fault.RetryAfterOf(withheld)
	away, absent := o.absences.earliestReturn(serves)
	switch {
	case absent && (withheld == nil || away <= wait):
		return refusal("every target that can take the request refuses connections", away)
	case errors.Is(withheld, ErrReturning):
		return refusal("every target that can take the request returns from an absence", wait)
	case errors.Is(withheld, ErrLimited):
		return refusal("every target that can take the request limits its requests", wait)
	case withheld != nil:
		return refusal("every target that can take the request asked for a pause", wait)
	}
	return nil
}

// earliestEnd returns why one of the targets gets no requests for a time by its own
// statement or because of its return, with the shortest time after which it may, or nil if
// there is none.
func (o *Options) earliestEnd(snapshot *fleet.Snapshot, targets []int) (earliest error) {
	for _, i := range targets {
		state := &snapshot.Targets[i]
		err := o.notices.check(state.Record.Target, state.Incarnation)
		if err == nil {
			err = limitError(o.Limits.Wait(state.Record.Target, state.Incarnation))
		}
		wait := fault.RetryAfterOf(err)
		if wait > 0 && !state.Draining && !state.Record.Leaving && (earliest == nil || wait < fault.RetryAfterOf(earliest)) {
			earliest = err
		}
	}
	return earliest
}

// refusal returns the error of a request that no target can take for a time. The time is
// rounded up to the millisecond, the precision of Retry-After, so that no caller returns
// just before its end.
func refusal(reason string, wait time.Duration) error {
	wait = (wait + time.Millisecond - 1).Truncate(time.Millisecond)
	return fault.New(fault.Unavailable, reason, "send the request again after the time in Retry-After").WithRetryAfter(wait)
}

// notifyEjected calls OnEjected if it is set.
func (o *Options) notifyEjected(target ident.Target, failures int) {
	if o.OnEjected != nil {
		o.OnEjected(target, failures)
	}
}

// DisabledParts selects the parts of a router that a benchmark disables.
type DisabledParts struct {
	// Affinity disables home engines: the engine that rendezvous hashing selects
	// for a prompt by its first blocks is then not assumed to have it cached.
	Affinity bool
	// Index disables the prefix index.
	Index bool
	// OwnSends disables the correction of load reports by the daemon's own
	// sends.
	OwnSends bool
	// PeerSends disables the estimate of other daemons' sends since the last
	// report.
	PeerSends bool
	// RandomTieBreak disables the draw among near-equal engines: the cheapest is taken.
	RandomTieBreak bool
	// Capacity disables the choice of replicas by their capacity.
	Capacity bool
	// Disaggregation disables running prefill and decode on different engines.
	Disaggregation bool
}
