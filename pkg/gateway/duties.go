package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/rolekeeper"
	"amaranthplank.example/amaranthplank/pkg/supplykeeper"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// Duties of which one daemon at a time carries each.
const (
	dutyUsage   ident.Duty = "usage"
	dutyEngines ident.Duty = "engines"
)

// duties are the shards of work that the process competes for.
type duties struct {
	leases *lease.Manager
	works  map[ident.Duty]lease.Work
	// stopping ends the competition.
	stopping context.Context
	stop     context.CancelFunc
}

// newDuties returns the process's duties.
func (g *Gateway) newDuties() *duties {
	d := &duties{}
	d.stopping, d.stop = context.WithCancel(context.Background())
	d.leases = lease.NewManager(lease.Options{
		Host: g.opts.Host, Incarnation: g.incarnation, FailureDomain: g.opts.FailureDomain,
		Store: g.opts.Store, Clock: clock.Boot{}, Members: g.presence, Random: newRandom(),
		Ready: func() bool { return g.ready() == nil },
		Terms: terms(g.opts.LeaseTerm, g.opts.StopGrace), Log: g.opts.Log, Registerer: g.registry,
	})
	reporter := &tally.Reporter{
		Store: g.opts.Store, Sink: g.opts.Sink, Time: g.time, Window: g.opts.UsageWindow, Due: g.opts.UsageDue,
		Ended: g.presence.Ended, Log: g.opts.Log,
	}
	supply := supplykeeper.New(supplykeeper.Options{
		View: g.targets, Orderer: g.opts.Supplier, Config: g.opts.Published, Log: g.opts.Log,
	})
	roles := rolekeeper.New(rolekeeper.Options{
		View: g.targets, Orderer: g.opts.Orderer, Log: g.opts.Log, Settled: supply.Settled,
		Exclude: g.announceAway, SwitchTime: g.switchTime,
		Share: func(model ident.Model) float64 { return g.knobs(config.Selector{Model: model}).Roles.PrefillShare },
	})
	d.works = map[ident.Duty]lease.Work{dutyUsage: reporter.Work, dutyEngines: together(supply.Work, roles.Work)}
	return d
}

const (
	// leaseParts is how many renewals fit into a lease's time.
	leaseParts = 3
	// leastTerm is the shortest lease.
	leastTerm = 3 * time.Second
	// dutyPoll is the time between a candidate's looks at a duty.
	dutyPoll = time.Second
	// rankWait is how much longer each further rank waits.
	rankWait = 400 * time.Millisecond
	// dutyCall bounds one call to the store.
	dutyCall = 900 * time.Millisecond
)

// terms returns the times that the duties' leases run by.
func terms(leaseTerm, stopGrace time.Duration) lease.Terms {
	t := lease.DefaultTerms()
	t.TTL = max(leastTerm, leaseTerm)
	t.RenewEvery = t.TTL / leaseParts
	t.PollEvery, t.RankWait, t.CallTimeout = dutyPoll, rankWait, dutyCall
	t.ReleaseFor = stopGrace * releaseShare / graceParts
	return t
}

// switchTime returns how long an engine of a model is away to change its role.
func (g *Gateway) switchTime(name ident.Model) time.Duration {
	snapshot := g.opts.Published.Current()
	if snapshot == nil {
		return 0
	}
	for i := range snapshot.Document.Models {
		if model := &snapshot.Document.Models[i]; model.Name == name {
			return model.SwitchTime.D()
		}
	}
	return 0
}

// together returns the work that does several works under one authority.
func together(works ...lease.Work) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		group, ctx := errgroup.WithContext(ctx)
		for _, work := range works {
			group.Go(func() error { return work(ctx, authority) })
		}
		return group.Wait()
	}
}

// run competes for the duties until ctx ends or they are handed over, and returns
// once they are released.
func (d *duties) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.stopping, cancel)()
	group, ctx := errgroup.WithContext(ctx)
	for name, work := range d.works {
		group.Go(func() error { return d.leases.Run(ctx, name, work) })
	}
	return group.Wait()
}

// handOver has the duties released, so that other daemons take them at once. It
// doesn't wait, since callers are to be let go also while the store is out.
func (d *duties) handOver(context.Context) error {
	d.stop()
	return nil
}
