package supplykeeper

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// lookEvery is the time between looks at the engines.
	lookEvery = 500 * time.Millisecond
	// arrival is how long after an order, beyond the boot, its engines are
	// waited for before it is repeated.
	arrival = 4 * time.Second
	// barred is how long no order is repeated where none were to be had.
	barred = 3 * time.Second
	// orderTimeout bounds one call.
	orderTimeout = time.Second
)

// Options are what a Keeper works with.
type Options struct {
	View    fleet.View
	Orderer Orderer
	// Config gives the bounds of what may be ordered, and the knobs.
	Config config.Source
	Log    *slog.Logger
}

// Keeper orders engines. All but Settled belongs to the goroutine of Work.
type Keeper struct {
	opts Options
	// waiting is until when an order's engines are waited for, by place.
	waiting map[place]time.Time
	settled atomic.Bool
}

// place is one kind of a model's engines in one failure domain.
type place struct {
	model  ident.Model
	domain ident.FailureDomain
	kind   external.TargetKind
}

// New returns a keeper that has ordered nothing.
func New(opts Options) *Keeper {
	return &Keeper{opts: opts, waiting: make(map[place]time.Time)}
}

// Settled reports whether the engines are those that are to stay.
func (k *Keeper) Settled() bool { return k.settled.Load() }

// Work keeps the counts while the duty is held. It is a lease.Work.
func (k *Keeper) Work(ctx context.Context, authority lease.Authority) error {
	return clock.Every(ctx, lookEvery, func() error {
		if err := k.step(ctx, authority); fault.KindOf(err) == fault.Fenced {
			return err
		}
		return nil
	})
}

// step orders what is due at every place.
func (k *Keeper) step(ctx context.Context, authority lease.Authority) error {
	snapshot := k.opts.Config.Current()
	if snapshot == nil {
		return nil
	}
	settled := true
	for i := range snapshot.Document.Models {
		model := &snapshot.Document.Models[i]
		want, ok := Want(model.Scaling, &snapshot.Knobs(config.Selector{Model: model.Name}).Supply)
		if !ok {
			continue
		}
		for _, domain := range slices.Sorted(maps.Keys(model.Scaling.Prices)) {
			done, err := k.keep(ctx, authority, model, domain, want)
			if err != nil {
				return err
			}
			settled = settled && done
		}
	}
	k.settled.Store(settled)
	return nil
}

// keep orders what is due at one place, and reports whether the engines there
// are those that are to stay.
func (k *Keeper) keep(ctx context.Context, authority lease.Authority, model *config.Model, domain ident.FailureDomain, want Counts) (bool, error) {
	have := k.count(model.Name, domain)
	kind, count, due := Next(have, want, model.Scaling.Maximum)
	at := place{model: model.Name, domain: domain, kind: kind}
	now := time.Now()
	settled := have.Dependable <= want.Dependable && have.Reclaimable > 0 || want.Reclaimable == 0
	if !due || now.Before(k.waiting[at]) {
		return settled, nil
	}
	order := Order{Model: model.Name, Domain: domain, Kind: kind, Count: count, Fencing: authority.Fencing()}
	if err := authority.Check(); err != nil {
		return settled, err
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := k.opts.Orderer.OrderEngines(call, order)
	k.opts.Log.Info("engines ordered", "model", order.Model, "failureDomain", domain, "kind", order.Kind, "count", order.Count,
		"have", have, "fencing", order.Fencing, "error", err)
	k.waiting[at] = now.Add(model.Scaling.Boot.D() + arrival)
	if fault.KindOf(err) == fault.Conflict || fault.KindOf(err) == fault.Unavailable || fault.KindOf(err) == fault.Limited {
		k.waiting[at] = now.Add(barred)
	}
	return settled, nil
}

// count returns the engines that are there and not leaving.
func (k *Keeper) count(model ident.Model, domain ident.FailureDomain) Counts {
	var have Counts
	snapshot := k.opts.View.Snapshot()
	for _, i := range snapshot.Model(model) {
		record := &snapshot.Targets[i].Record
		if record.FailureDomain != domain || record.Leaving {
			continue
		}
		if record.Kind == external.Reclaimable {
			have.Reclaimable++
			continue
		}
		have.Dependable++
	}
	return have
}
