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
	"amaranthplank.example/amaranthplank/pkg/target"
)

// The duties, each of which is held by one daemon at a time.
const (
	dutyUsage   ident.Duty = "usage"
	dutyEngines ident.Duty = "engines"
)

// dutyManager runs the duties that the process competes for.
type dutyManager struct {
	leases *lease.Manager
	work   map[ident.Duty]lease.Work
	// releaseCtx is canceled by release. The process then releases the duties that
	// it holds and competes for no more.
	releaseCtx       context.Context
	cancelReleaseCtx context.CancelFunc
}

// newDutyManager returns the manager of the process's duties.
func (g *Gateway) newDutyManager() *dutyManager {
	d := &dutyManager{}
	d.releaseCtx, d.cancelReleaseCtx = context.WithCancel(context.Background())
	d.leases = lease.NewManager(lease.Options{
		Host: g.opts.Host, Incarnation: g.incarnation, FailureDomain: g.opts.FailureDomain,
		Store: g.opts.Store, Clock: clock.Boot{}, Members: g.presence, Random: newRandom(),
		Ready:  func() bool { return g.checkReady() == nil },
		Timing: leaseTiming(&g.opts), FirstStart: g.opts.FirstStart, Log: g.opts.Log, Registerer: g.registry,
	})
	reporter := &tally.Reporter{
		Store: g.opts.Store, Sink: g.opts.Sink, Time: g.time, Window: g.opts.UsageWindow, ReportDeadline: g.opts.UsageReportDeadline,
		Windows: g.windows, Share: g.sendClosedWindow, Ended: g.presence.Ended, Log: g.opts.Log,
	}
	supply := supplykeeper.New(supplykeeper.Options{
		View: g.targets, Orderer: g.opts.EngineOrderer, Config: g.opts.Published, Log: g.opts.Log,
	})
	if source, ok := g.opts.RoleOrderer.(rolekeeper.NoticeSource); ok {
		source.RecordNotices(g.noticeRecorder)
	}
	roles := rolekeeper.New(rolekeeper.Options{
		View: g.targets, Orderer: limitedOrderer{g.opts.RoleOrderer, g}, Log: g.opts.Log, Settled: supply.Settled,
		Exclude: g.announceExclusion, SwitchTime: g.switchTime,
		Share: func(model ident.Model) float64 { return g.knobs(config.Selector{Model: model}).Roles.PrefillShare },
		Work:  g.modelWork, Leaving: g.leaving, Paused: g.paused,
	})
	d.work = map[ident.Duty]lease.Work{dutyUsage: reporter.Work, dutyEngines: combineWork(supply.Work, roles.Work)}
	return d
}

const (
	// renewalsPerLease is the number of renewals within a lease's TTL.
	renewalsPerLease = 3
	// minLeaseTTL is the shortest TTL of a lease.
	minLeaseTTL = 3 * time.Second
	// dutyPollInterval is the time between a candidate's reads of a duty.
	dutyPollInterval = time.Second
	// rankWait is the additional wait per rank before a candidate takes a free
	// duty; rank 0 is the first.
	rankWait = 400 * time.Millisecond
	// dutyCallTimeout bounds one call to the store.
	dutyCallTimeout = 900 * time.Millisecond
)

// leaseTiming returns the timing of the duties' leases.
func leaseTiming(opts *Options) lease.Timing {
	t := lease.DefaultTiming()
	t.TTL = max(minLeaseTTL, opts.LeaseTerm)
	t.RenewInterval = t.TTL / renewalsPerLease
	t.PollInterval, t.RankWait, t.CallTimeout = dutyPollInterval, rankWait, dutyCallTimeout
	t.ReleaseFor = opts.StopGrace * releaseShare / graceParts
	if opts.FencingUnchecked {
		t.HandoverDelay = max(target.UndeliveredFor, opts.LeaseTerm)
	}
	return t
}

// switchTime returns how long an engine of a model takes to change its role.
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

// modelWork returns how a model's work divides into prompts and answers.
func (g *Gateway) modelWork(model ident.Model) (rolekeeper.Work, bool) {
	work, known := g.router.Models.Work(model)
	return rolekeeper.Work(work), known
}

// combineWork returns a Work that runs several others concurrently under one
// authority.
func combineWork(works ...lease.Work) lease.Work {
	return func(ctx context.Context, authority lease.Authority) error {
		group, ctx := errgroup.WithContext(ctx)
		for _, work := range works {
			group.Go(func() error { return work(ctx, authority) })
		}
		return group.Wait()
	}
}

// run competes for the duties until ctx ends or release is called, and returns once
// the held ones are released.
func (d *dutyManager) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.releaseCtx, cancel)()
	group, ctx := errgroup.WithContext(ctx)
	for name, work := range d.work {
		group.Go(func() error { return d.leases.Run(ctx, name, work) })
	}
	return group.Wait()
}

// release makes run release the duties, so that other daemons can take them at once.
// It doesn't wait for that, so that a graceful shutdown goes on during a store outage.
func (d *dutyManager) release(context.Context) error {
	d.cancelReleaseCtx()
	return nil
}
