package rolekeeper

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// checkInterval is the time between checks of the engines' roles.
	checkInterval = 500 * time.Millisecond
	// minNeedDuration is how long a model must need a change before it is
	// ordered.
	minNeedDuration = 1500 * time.Millisecond
	// supplyTimeout is how long after acquiring the duty the keeper waits for
	// Settled, while engines that were ordered may still arrive.
	supplyTimeout = 7 * time.Second
	// pendingTimeout is how long an ordered change counts as pending. It is
	// longer than a change takes and longer than an order can be delayed.
	pendingTimeout = 14 * time.Second
	// orderTimeout bounds sending one order.
	orderTimeout = time.Second
	// exclusionMargin is how much longer than SwitchTime an engine is excluded.
	// The exclusion ends earlier if its new role is observed.
	exclusionMargin = 2 * time.Second
	// maxChangingShare is the share of a model's engines that may change at
	// once; at least one may.
	maxChangingShare = 0.34
)

// Options configures a Keeper.
type Options struct {
	View    fleet.View
	Orderer Orderer
	// Share returns the largest share of a model's engines that have the prefill
	// role. A negative share leaves the roles as they are.
	Share func(model ident.Model) float64
	// Work returns how a model's work divides into prompts and answers, or false
	// if that is not known. If Work is nil, the share is always the largest.
	Work func(model ident.Model) (Work, bool)
	// Exclude excludes the targets from new requests at all daemons for d, and
	// returns once all of them apply the exclusion. If it fails, some may not.
	Exclude func(ctx context.Context, targets []ident.Target, d time.Duration) error
	// SwitchTime returns how long an engine of a model is unavailable while it
	// changes its role.
	SwitchTime func(model ident.Model) time.Duration
	// Leaving reports whether an engine stated that it leaves. It may be nil.
	Leaving func(engine *fleet.TargetState) bool
	// Paused reports whether this daemon must send an engine nothing for now. The
	// engine keeps its role meanwhile and gets no order. It may be nil.
	Paused func(engine *fleet.TargetState) bool
	// Settled reports whether the present engines are expected to stay. No role
	// is changed until it returns true, but for at most supplyTimeout.
	Settled func() bool
	Log     *slog.Logger
}

// Keeper orders role changes. Only the goroutine that runs Work may use it.
type Keeper struct {
	opts Options
	// pending holds the changes that were ordered and not observed yet.
	pending map[engineIncarnation]pendingChange
	// accepted is how many orders each engine is known to have accepted.
	accepted map[engineIncarnation]uint64
	// neededSince is when each model that needs a change began to need it.
	neededSince map[ident.Model]time.Time
	// shares are the shares that models are kept at.
	shares map[ident.Model]*shareTracker
}

// engineIncarnation identifies one run of an engine's process.
type engineIncarnation struct {
	target      ident.Target
	incarnation ident.Incarnation
}

// pendingChange is a change that was ordered and may not have taken effect yet.
type pendingChange struct {
	role fleet.Role
	at   time.Time
}

// New returns a keeper without pending changes.
func New(opts Options) *Keeper {
	return &Keeper{
		opts: opts, pending: make(map[engineIncarnation]pendingChange), accepted: make(map[engineIncarnation]uint64),
		neededSince: make(map[ident.Model]time.Time), shares: make(map[ident.Model]*shareTracker),
	}
}

// Work keeps every model at its share while the duty is held. It is a lease.Work.
func (k *Keeper) Work(ctx context.Context, authority lease.Authority) error {
	start := time.Now()
	return clock.Every(ctx, checkInterval, func() error {
		if !k.opts.Settled() && time.Since(start) < supplyTimeout {
			return nil
		}
		return k.reconcile(ctx, authority)
	})
}

// reconcile orders the changes that are due for every model. It fails only if the
// authority is lost or an engine refuses the fencing token.
func (k *Keeper) reconcile(ctx context.Context, authority lease.Authority) error {
	snapshot := k.opts.View.Snapshot()
	for _, model := range snapshot.Models() {
		if err := k.reconcileModel(ctx, authority, snapshot, model); fault.KindOf(err) == fault.Fenced {
			return err
		}
	}
	return nil
}

// reconcileModel orders the changes that one model needs, as far as
// maxChangingShare allows. It fails if the exclusion or an order fails.
func (k *Keeper) reconcileModel(ctx context.Context, authority lease.Authority, snapshot *fleet.Snapshot, model ident.Model) error {
	largest := k.opts.Share(model)
	if largest < 0 {
		return nil
	}
	now := time.Now()
	engines, changing := k.engines(snapshot, model, now)
	changes := ChooseChanges(engines, k.share(model, len(engines), largest, now))
	if len(changes) == 0 {
		delete(k.neededSince, model)
		return nil
	}
	if since, ok := k.neededSince[model]; !ok {
		k.neededSince[model] = now
		return nil
	} else if now.Sub(since) < minNeedDuration {
		return nil
	}
	budget := max(1, int(maxChangingShare*float64(len(engines)))) - changing
	changes = slices.DeleteFunc(changes, func(c Change) bool { return k.paused(snapshot.Target(c.Target)) })
	changes = changes[:max(0, min(budget, len(changes)))]
	if err := k.excludeTargets(ctx, model, changes); err != nil {
		k.opts.Log.Info("role changes put off, not all daemons know of them", "model", model, "changes", len(changes), "error", err)
		return err
	}
	for _, change := range changes {
		if err := k.order(ctx, authority, snapshot.Target(change.Target), change.Role); err != nil {
			return err
		}
	}
	return nil
}

// share returns the share of a model's engines that are to have the prefill role.
func (k *Keeper) share(model ident.Model, engines int, largest float64, now time.Time) float64 {
	if k.opts.Work == nil {
		return largest
	}
	tracker, ok := k.shares[model]
	if !ok {
		tracker = &shareTracker{share: largest}
		k.shares[model] = tracker
	}
	work, known := k.opts.Work(model)
	if !known {
		return min(tracker.share, largest)
	}
	before := tracker.share
	tracker.update(work, engines, largest, now)
	if tracker.share != before {
		k.opts.Log.Info("prefill share changed", "model", model, "from", before, "to", tracker.share, "engines", engines,
			"decodeLoad", work.DecodeLoad, "prefillPart", work.PrefillPart)
	}
	return tracker.share
}

// excludeTargets excludes the engines that are about to change from new requests
// at all daemons.
func (k *Keeper) excludeTargets(ctx context.Context, model ident.Model, changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	targets := make([]ident.Target, len(changes))
	for i := range changes {
		targets[i] = changes[i].Target
	}
	return k.opts.Exclude(ctx, targets, k.opts.SwitchTime(model)+exclusionMargin)
}

// engines returns a model's engines with their present role or, if a change is
// pending, the role they change to. It also returns how many are changing.
func (k *Keeper) engines(snapshot *fleet.Snapshot, model ident.Model, now time.Time) (engines []Engine, changing int) {
	for _, i := range snapshot.Model(model) {
		state := &snapshot.Targets[i]
		if state.Draining || state.Record.Leaving || k.leaving(state) {
			continue
		}
		engine := Engine{Target: state.Record.Target, Domain: state.Record.FailureDomain, Role: state.Load.Role}
		incarnation := incarnationOf(state)
		if change, ok := k.pending[incarnation]; ok {
			if change.role == engine.Role || now.Sub(change.at) > pendingTimeout {
				delete(k.pending, incarnation)
			} else {
				engine.Role, engine.Changing = change.role, true
				changing++
			}
		}
		engines = append(engines, engine)
	}
	return engines, changing
}

// leaving reports whether an engine stated that it leaves.
func (k *Keeper) leaving(engine *fleet.TargetState) bool {
	return k.opts.Leaving != nil && k.opts.Leaving(engine)
}

// paused reports whether this daemon must send an engine nothing for now.
func (k *Keeper) paused(engine *fleet.TargetState) bool {
	return k.opts.Paused != nil && k.opts.Paused(engine)
}

// order sends one order and records its outcome.
func (k *Keeper) order(ctx context.Context, authority lease.Authority, state *fleet.TargetState, role fleet.Role) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if k.leaving(state) || k.paused(state) {
		return nil
	}
	incarnation := incarnationOf(state)
	order := Order{Target: state.Record, Role: role, Fencing: authority.Fencing(), After: k.accepted[incarnation]}
	err := authority.Call(ctx, func(ctx context.Context) error { return k.opts.Orderer.Order(ctx, order) })
	if errors.Is(err, lease.ErrLost) {
		return err
	}
	kind := fault.KindOf(err)
	k.opts.Log.Info("role ordered", "target", order.Target.Target, "role", role, "from", state.Load.Role,
		"fencing", order.Fencing, "after", order.After, "error", err)
	switch {
	case err == nil:
		k.accepted[incarnation] = order.After + 1
		k.pending[incarnation] = pendingChange{role: role, at: time.Now()}
	case kind == fault.Conflict:
		k.refreshAccepted(ctx, state.Record, incarnation)
	case kind == fault.Unknown:
		// The order may still take effect, so no other is sent while it counts
		// as pending.
		k.pending[incarnation] = pendingChange{role: role, at: time.Now()}
	}
	return err
}

// refreshAccepted reads from an engine how many orders it has accepted.
func (k *Keeper) refreshAccepted(ctx context.Context, record external.TargetRecord, incarnation engineIncarnation) {
	accepted, err := k.opts.Orderer.AcceptedOrders(ctx, record)
	if err != nil {
		k.opts.Log.Info("failed to read the number of accepted orders", "target", record.Target, "error", err)
		return
	}
	k.accepted[incarnation] = accepted
}

// incarnationOf returns the present incarnation of an engine.
func incarnationOf(state *fleet.TargetState) engineIncarnation {
	return engineIncarnation{target: state.Record.Target, incarnation: state.Incarnation}
}
