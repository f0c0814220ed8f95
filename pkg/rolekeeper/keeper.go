package rolekeeper

import (
	"context"
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// lookEvery is the time between looks at the engines.
	lookEvery = 500 * time.Millisecond
	// settle is how long a need must stand before it is acted on.
	settle = 1500 * time.Millisecond
	// supplyPatience is how long after the duty was taken ordered engines are
	// waited for.
	supplyPatience = 7 * time.Second
	// pendingFor is how long an ordered change is taken to be on its way. It is
	// longer than a change takes and than an order may be late.
	pendingFor = 14 * time.Second
	// orderTimeout bounds one call.
	orderTimeout = time.Second
	// awayMargin is how much longer than a change an engine is left out unless
	// its new role is seen.
	awayMargin = 2 * time.Second
	// awayShare is the share of a model's engines that may change at once.
	awayShare = 0.34
)

// Options are what a Keeper works with.
type Options struct {
	View    fleet.View
	Orderer Orderer
	// Share returns the share of a model's engines that compute prompts alone;
	// negative leaves the roles as they are.
	Share func(model ident.Model) float64
	// Away has nothing sent to engines for a while, at all daemons, and returns
	// once they know. Where it fails they may not.
	Away func(ctx context.Context, targets []ident.Target, d time.Duration) error
	// SwitchTime returns how long an engine of a model is away to change.
	SwitchTime func(model ident.Model) time.Duration
	// Settled reports whether the engines are those that are to stay; until
	// then no role is changed, for a while.
	Settled func() bool
	Log     *slog.Logger
}

// Keeper orders the changes of role. It belongs to the goroutine of Work.
type Keeper struct {
	opts Options
	// pending are the changes that were ordered and not yet seen.
	pending map[engineLife]pendingChange
	// taken is how many orders each engine is known to have taken.
	taken map[engineLife]uint64
	// needed is since when each model has needed a change.
	needed map[ident.Model]time.Time
}

// engineLife is one life of an engine.
type engineLife struct {
	target      ident.Target
	incarnation ident.Incarnation
}

// pendingChange is a change that is on its way.
type pendingChange struct {
	role fleet.Role
	at   time.Time
}

// New returns a keeper that has ordered nothing.
func New(opts Options) *Keeper {
	return &Keeper{
		opts: opts, pending: make(map[engineLife]pendingChange), taken: make(map[engineLife]uint64),
		needed: make(map[ident.Model]time.Time),
	}
}

// Work keeps the shares while the duty is held. It is a lease.Work.
func (k *Keeper) Work(ctx context.Context, authority lease.Authority) error {
	began := time.Now()
	return clock.Every(ctx, lookEvery, func() error {
		if !k.opts.Settled() && time.Since(began) < supplyPatience {
			return nil
		}
		return k.step(ctx, authority)
	})
}

// step orders what is due of every model. It fails once authority is lost.
func (k *Keeper) step(ctx context.Context, authority lease.Authority) error {
	snapshot := k.opts.View.Snapshot()
	for _, model := range snapshot.Models() {
		if err := k.keep(ctx, authority, snapshot, model); fault.KindOf(err) == fault.Fenced {
			return err
		}
	}
	return nil
}

// keep orders the changes that one model needs. It fails where an order was
// not taken.
func (k *Keeper) keep(ctx context.Context, authority lease.Authority, snapshot *fleet.Snapshot, model ident.Model) error {
	share := k.opts.Share(model)
	if share < 0 {
		return nil
	}
	now := time.Now()
	engines, away := k.engines(snapshot, model, now)
	changes := Choose(engines, share)
	if len(changes) == 0 {
		delete(k.needed, model)
		return nil
	}
	if since, ok := k.needed[model]; !ok {
		k.needed[model] = now
		return nil
	} else if now.Sub(since) < settle {
		return nil
	}
	room := max(1, int(awayShare*float64(len(engines)))) - away
	changes = changes[:max(0, min(room, len(changes)))]
	if err := k.announce(ctx, model, changes); err != nil {
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

// announce has the daemons send nothing more to engines that are about to
// change.
func (k *Keeper) announce(ctx context.Context, model ident.Model, changes []Change) error {
	if len(changes) == 0 {
		return nil
	}
	targets := make([]ident.Target, len(changes))
	for i := range changes {
		targets[i] = changes[i].Target
	}
	return k.opts.Away(ctx, targets, k.opts.SwitchTime(model)+awayMargin)
}

// engines returns a model's engines with the roles that they have or are
// changing to, and how many are changing.
func (k *Keeper) engines(snapshot *fleet.Snapshot, model ident.Model, now time.Time) (engines []Engine, away int) {
	for _, i := range snapshot.Model(model) {
		state := &snapshot.Targets[i]
		if state.Draining || state.Record.Leaving {
			continue
		}
		engine := Engine{Target: state.Record.Target, Domain: state.Record.FailureDomain, Role: state.Load.Role}
		life := lifeOf(state)
		if change, ok := k.pending[life]; ok {
			if change.role == engine.Role || now.Sub(change.at) > pendingFor {
				delete(k.pending, life)
			} else {
				engine.Role = change.role
				away++
			}
		}
		engines = append(engines, engine)
	}
	return engines, away
}

// order sends one order and notes what is known of it then.
func (k *Keeper) order(ctx context.Context, authority lease.Authority, state *fleet.TargetState, role fleet.Role) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	life := lifeOf(state)
	order := Order{Target: state.Record, Role: role, Fencing: authority.Fencing(), After: k.taken[life]}
	if err := authority.Check(); err != nil {
		return err
	}
	err := k.opts.Orderer.Order(ctx, order)
	kind := fault.KindOf(err)
	k.opts.Log.Info("role ordered", "target", order.Target.Target, "role", role, "from", state.Load.Role,
		"fencing", order.Fencing, "after", order.After, "error", err)
	switch {
	case err == nil:
		k.taken[life] = order.After + 1
		k.pending[life] = pendingChange{role: role, at: time.Now()}
	case kind == fault.Conflict:
		k.learn(ctx, state.Record, life)
	case kind == fault.Unknown:
		// The order may be carried out late; until then no other is sent.
		k.pending[life] = pendingChange{role: role, at: time.Now()}
	}
	return err
}

// learn asks an engine how many orders it has taken.
func (k *Keeper) learn(ctx context.Context, record external.TargetRecord, life engineLife) {
	taken, err := k.opts.Orderer.Taken(ctx, record)
	if err != nil {
		k.opts.Log.Info("engine's orders unknown", "target", record.Target, "error", err)
		return
	}
	k.taken[life] = taken
}

// lifeOf names the present life of an engine.
func lifeOf(state *fleet.TargetState) engineLife {
	return engineLife{target: state.Record.Target, incarnation: state.Incarnation}
}
