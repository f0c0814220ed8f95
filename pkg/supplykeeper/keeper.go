package supplykeeper

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// pollInterval is the time between comparisons of the present engines with
	// the desired counts.
	pollInterval = 500 * time.Millisecond
	// arrivalGrace is how long ordered engines may take to arrive, in addition
	// to their boot time, before the order is repeated.
	arrivalGrace = 4 * time.Second
	// retryDelay is the time before an order is repeated if the platform could
	// not provide the engines.
	retryDelay = 3 * time.Second
	// replacementRetryDelay is that time for engines that replace those lost in
	// another failure domain, which gets repeated orders too.
	replacementRetryDelay = 12 * time.Second
	// orderTimeout limits one call of the Orderer.
	orderTimeout = time.Second
)

// Options are the dependencies of a Keeper.
type Options struct {
	View    fleet.View
	Orderer Orderer
	// Config has the limits on the counts, and the knobs.
	Config config.Source
	Log    *slog.Logger
}

// Keeper orders engines. Only Settled may be called from other goroutines than
// the one that runs Work.
type Keeper struct {
	opts Options
	// waitUntil is the time until which an order for a group is not repeated.
	waitUntil map[group]time.Time
	// ordered is the last count ordered for a group, until it is there.
	ordered map[group]int
	// most is how many of a group's desired engines have been there at the same time.
	most    map[group]int
	settled atomic.Bool
}

// group identifies a model's engines of one kind in one failure domain.
type group struct {
	model  ident.Model
	domain ident.FailureDomain
	kind   external.TargetKind
}

// New returns a keeper that has not ordered anything yet.
func New(opts Options) *Keeper {
	return &Keeper{opts: opts, waitUntil: make(map[group]time.Time), ordered: make(map[group]int), most: make(map[group]int)}
}

// Settled reports whether every failure domain has a reclaimable engine and no more
// dependable ones than desired. Domains where no reclaimable engine is desired count
// as settled.
func (k *Keeper) Settled() bool { return k.settled.Load() }

// Work orders engines to reach the desired counts while the duty is held. It is a
// lease.Work.
func (k *Keeper) Work(ctx context.Context, authority lease.Authority) error {
	return clock.Every(ctx, pollInterval, func() error {
		if err := k.reconcile(ctx, authority); fault.KindOf(err) == fault.Fenced {
			return err
		}
		return nil
	})
}

// reconcile sends the orders that are due in all failure domains of all models.
func (k *Keeper) reconcile(ctx context.Context, authority lease.Authority) error {
	snapshot := k.opts.Config.Current()
	if snapshot == nil {
		return nil
	}
	settled := true
	for i := range snapshot.Document.Models {
		model := &snapshot.Document.Models[i]
		want, ok := DesiredCounts(model.Scaling, &snapshot.Knobs(config.Selector{Model: model.Name}).Supply)
		if !ok {
			continue
		}
		for _, domain := range k.domains(model, want) {
			done, err := k.reconcileDomain(ctx, authority, model, domain)
			if err != nil {
				return err
			}
			settled = settled && done
		}
	}
	k.settled.Store(settled)
	return nil
}

// domains returns the state of a model's failure domains. Engines that are lost in
// one are added to the desired engines of the others.
func (k *Keeper) domains(model *config.Model, want Counts) []Domain {
	var domains []Domain
	for _, name := range slices.Sorted(maps.Keys(model.Scaling.Prices)) {
		have := k.count(model.Name, name)
		key := group{model: model.Name, domain: name, kind: external.Reclaimable}
		k.most[key] = max(k.most[key], min(have.Reclaimable, want.Reclaimable))
		domains = append(domains, Domain{
			Name: name, Price: model.Scaling.Prices[name], Have: have, Want: want, Most: k.most[key],
		})
	}
	ReplaceLost(domains, model.Scaling.Maximum)
	return domains
}

// reconcileDomain sends the orders that are due for a model in one failure domain,
// and reports whether the engines there are settled, see Settled.
func (k *Keeper) reconcileDomain(ctx context.Context, authority lease.Authority, model *config.Model, state Domain) (bool, error) {
	have, want := state.Have, state.Want
	settled := have.Dependable <= want.Dependable && have.Reclaimable > 0 || want.Reclaimable == 0
	k.forgetArrived(model.Name, state.Name, have)
	for _, due := range state.Due(model.Scaling.Maximum) {
		key := group{model: model.Name, domain: state.Name, kind: due.Kind}
		if time.Now().Before(k.waitUntil[key]) && due.Count <= k.ordered[key] {
			continue
		}
		if err := k.order(ctx, authority, model, &state, due); err != nil {
			return settled, err
		}
	}
	return settled, nil
}

// order sends one order and notes when it may be repeated. It fails only if the
// authority is lost.
func (k *Keeper) order(ctx context.Context, authority lease.Authority, model *config.Model, state *Domain, due DueOrder) error {
	order := Order{Model: model.Name, Domain: state.Name, Kind: due.Kind, Count: due.Count, Fencing: authority.Fencing()}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := time.Now()
	err := authority.Call(ctx, func(ctx context.Context) error { return k.opts.Orderer.OrderEngines(ctx, order) })
	if errors.Is(err, lease.ErrLost) {
		return err
	}
	k.opts.Log.Info("engines ordered", "model", order.Model, "failureDomain", order.Domain, "kind", order.Kind, "count", order.Count,
		"have", state.Have, "fencing", order.Fencing, "error", err)
	key := group{model: order.Model, domain: order.Domain, kind: order.Kind}
	k.ordered[key] = due.Count
	k.waitUntil[key] = sentAt.Add(model.Scaling.Boot.D() + arrivalGrace)
	if fault.KindOf(err) == fault.Conflict || fault.KindOf(err) == fault.Unavailable || fault.KindOf(err) == fault.Limited {
		k.waitUntil[key] = sentAt.Add(state.retryDelay())
	}
	return nil
}

// forgetArrived forgets the last orders of a domain whose counts are there, so that the
// next ones are sent immediately.
func (k *Keeper) forgetArrived(model ident.Model, domain ident.FailureDomain, have Counts) {
	present := map[external.TargetKind]int{external.Dependable: have.Dependable, external.Reclaimable: have.Reclaimable}
	for kind, count := range present {
		key := group{model: model, domain: domain, kind: kind}
		if ordered, ok := k.ordered[key]; ok && count == ordered {
			delete(k.ordered, key)
			delete(k.waitUntil, key)
		}
	}
}

// count counts a model's engines in a failure domain that are not leaving.
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
