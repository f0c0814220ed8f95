package presence

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

const (
	// leaseTTL is how long the store keeps the key of a daemon that ended without
	// removing it.
	leaseTTL = 6 * time.Second
	// renewInterval is the pause between renewals, retryInterval the pause after a
	// failed one.
	renewInterval = 2 * time.Second
	retryInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
)

// Announcer maintains a daemon's key in the store.
type Announcer struct {
	store  external.Store
	record Record
	log    *slog.Logger

	// lease is the lease of the key, or external.NoLease. It is used only by the
	// goroutine of Run.
	lease external.LeaseID
}

// NewAnnouncer returns an announcer for a record.
func NewAnnouncer(store external.Store, record Record, log *slog.Logger) *Announcer {
	return &Announcer{store: store, record: record, log: log}
}

// Run maintains the key until ctx ends, and then removes it.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := renewInterval
		if err := a.step(ctx); err != nil && ctx.Err() == nil {
			a.log.Debug("presence not announced", "error", err)
			pause = retryInterval
		}
		clock.Sleep(ctx, pause)
	}
	a.withdraw()
	return nil
}

// step renews the lease, or writes the key under a new one.
func (a *Announcer) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.lease == external.NoLease {
		return a.announce(ctx)
	}
	err := a.store.KeepAlive(ctx, a.lease)
	if errors.Is(err, external.ErrLeaseNotFound) {
		a.lease = external.NoLease
		return a.announce(ctx)
	}
	return err
}

// announce writes the key under a new lease.
func (a *Announcer) announce(ctx context.Context) error {
	lease, err := a.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := a.record.encode()
	if err != nil {
		return err
	}
	swap := external.Swap{Key: a.record.key(), Value: value, Lease: lease}
	_, err = a.store.CompareAndSwap(ctx, swap)
	if errors.Is(err, external.ErrVersionConflict) {
		err = a.replace(ctx, swap)
	}
	if err != nil {
		// The new lease expires with any key written under it.
		return err
	}
	a.lease = lease
	return nil
}

// replace overwrites the key that an earlier attempt left behind.
func (a *Announcer) replace(ctx context.Context, swap external.Swap) error {
	entry, err := a.store.Get(ctx, swap.Key)
	if err != nil {
		return err
	}
	swap.Base = entry.Version
	_, err = a.store.CompareAndSwap(ctx, swap)
	return err
}

// withdraw removes the key by revoking its lease. If that fails the key expires.
func (a *Announcer) withdraw() {
	if a.lease == external.NoLease {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.store.Revoke(ctx, a.lease); err != nil {
		a.log.Info("presence key left to expire", "error", err)
	}
}
