package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// dutiesEvery is the time between looks at which duties there are.
const dutiesEvery = time.Second

// duties are the shards of work that the daemon competes for. Which there are
// follows the configuration.
type duties struct {
	leases *lease.Manager
	// wanted returns the work of every duty that there is at present.
	wanted func() map[ident.Duty]lease.Work
	// handing is ended by handOver; released is closed once every duty is.
	handing  context.Context
	release  context.CancelFunc
	released chan struct{}
}

// newDuties returns the daemon's duties.
func (d *Daemon) newDuties(wanted func() map[ident.Duty]lease.Work) *duties {
	u := &duties{wanted: wanted, released: make(chan struct{})}
	u.handing, u.release = context.WithCancel(context.Background())
	u.leases = lease.NewManager(lease.Options{
		Host: d.opts.Host, Incarnation: d.incarnation, FailureDomain: d.opts.FailureDomain,
		Store: d.opts.Store, Clock: clock.Boot{}, Members: d.members, Random: newRandom(),
		Ready: func() bool { return d.serving() == nil },
		Terms: lease.DefaultTerms(), Log: d.opts.Log, Registerer: d.registry,
	})
	return u
}

// run competes for the duties until ctx ends or they are handed over.
func (u *duties) run(ctx context.Context) error {
	defer close(u.released)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(u.handing, cancel)()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return u.follow(ctx, group) })
	return group.Wait()
}

// follow competes for the duties that there are, as they come and go.
func (u *duties) follow(ctx context.Context, group *errgroup.Group) error {
	running := make(map[ident.Duty]context.CancelFunc)
	ticker := time.NewTicker(dutiesEvery)
	defer ticker.Stop()
	for {
		u.adjust(ctx, group, running)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// adjust begins duties that are new and ends those that are gone.
func (u *duties) adjust(ctx context.Context, group *errgroup.Group, running map[ident.Duty]context.CancelFunc) {
	wanted := u.wanted()
	for name, work := range wanted {
		if running[name] != nil {
			continue
		}
		dutyCtx, cancel := context.WithCancel(ctx)
		running[name] = cancel
		group.Go(func() error { return u.leases.Run(dutyCtx, name, work) })
	}
	for name, cancel := range running {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(running, name)
		}
	}
}

// handOver releases the duties, so that other daemons take them at once.
func (u *duties) handOver(ctx context.Context) error {
	u.release()
	select {
	case <-u.released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
