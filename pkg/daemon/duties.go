package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// dutiesInterval is the interval between reconciliations with the current duties.
const dutiesInterval = time.Second

// dutyManager competes for the leases of all current duties and runs the work of
// those that it holds. The set of duties follows from the configuration.
type dutyManager struct {
	leases *lease.Manager
	// current returns the work of every duty that exists now.
	current func() map[ident.Duty]lease.Work
	// releaseCtx is canceled by release; released is closed when run returns,
	// once no duty is held any more.
	releaseCtx       context.Context
	cancelReleaseCtx context.CancelFunc
	released         chan struct{}
}

// newDutyManager returns the manager of the daemon's duties.
func (d *Daemon) newDutyManager(current func() map[ident.Duty]lease.Work) *dutyManager {
	m := &dutyManager{current: current, released: make(chan struct{})}
	m.releaseCtx, m.cancelReleaseCtx = context.WithCancel(context.Background())
	m.leases = lease.NewManager(lease.Options{
		Host: d.opts.Host, Incarnation: d.incarnation, FailureDomain: d.opts.FailureDomain,
		Store: d.opts.Store, Clock: clock.Boot{}, Members: d.members, Random: newRandom(),
		Ready:  func() bool { return d.checkServing() == nil },
		Timing: lease.DefaultTiming(), Log: d.opts.Log, Registerer: d.registry,
	})
	return m
}

// run competes for the duties until ctx ends or release is called.
func (m *dutyManager) run(ctx context.Context) error {
	defer close(m.released)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(m.releaseCtx, cancel)()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.reconcileLoop(ctx, group) })
	return group.Wait()
}

// reconcileLoop starts and stops competing for duties as they are added and
// removed.
func (m *dutyManager) reconcileLoop(ctx context.Context, group *errgroup.Group) error {
	running := make(map[ident.Duty]context.CancelFunc)
	ticker := time.NewTicker(dutiesInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx, group, running)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reconcile starts the duties that are new and cancels those that no longer exist.
func (m *dutyManager) reconcile(ctx context.Context, group *errgroup.Group, running map[ident.Duty]context.CancelFunc) {
	current := m.current()
	for name, work := range current {
		if running[name] != nil {
			continue
		}
		dutyCtx, cancel := context.WithCancel(ctx)
		running[name] = cancel
		group.Go(func() error { return m.leases.Run(dutyCtx, name, work) })
	}
	for name, cancel := range running {
		if _, ok := current[name]; !ok {
			cancel()
			delete(running, name)
		}
	}
}

// release releases all duties, so that other daemons can take them over without
// waiting for a lease to expire. It returns once they are released or ctx ends.
func (m *dutyManager) release(ctx context.Context) error {
	m.cancelReleaseCtx()
	select {
	case <-m.released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
