package lease

import (
	"context"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// session manages the process's lease in the store. A lease is granted only when
// the process acquires a duty, so that candidates cost the store no writes.
type session struct {
	store   external.Store
	clock   clock.Clock
	timing  Timing
	metrics *metrics

	// grantSlot is a semaphore of one, which ensureLease holds while it calls
	// the store.
	grantSlot chan struct{}
	// current is changed only by the holder of grantSlot.
	current atomic.Pointer[storeLease]
}

// newSession returns a session without a lease.
func newSession(opts Options, m *metrics) *session {
	return &session{
		store: opts.Store, clock: opts.Clock, timing: opts.Timing, metrics: m,
		grantSlot: make(chan struct{}, 1),
	}
}

// ensureLease returns a lease with more than half of its TTL left and requests a
// new one if there is none. It fails if the present lease has less than that left
// but is not over.
func (s *session) ensureLease(ctx context.Context) (*storeLease, error) {
	select {
	case s.grantSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, external.ErrStoreUnavailable
	}
	defer func() { <-s.grantSlot }()
	if lease := s.current.Load(); lease != nil {
		s.renew(ctx, lease)
		remaining := lease.remaining()
		if remaining > s.timing.TTL/2 {
			return lease, nil
		}
		if remaining > 0 {
			return nil, external.ErrStoreUnavailable
		}
		s.drop(ctx, lease)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	return s.grant(ctx)
}

// grant requests a new lease. It fails if the store's era rises meanwhile, because it
// is not known then which era the lease belongs to. The caller holds grantSlot.
func (s *session) grant(ctx context.Context) (*storeLease, error) {
	before, _ := external.EraOf(s.store)
	sentAt := s.clock.Now()
	id, err := s.store.Grant(ctx, s.timing.TTL)
	if err != nil {
		return nil, err
	}
	if after, _ := external.EraOf(s.store); after != before {
		return nil, external.ErrStoreUnavailable
	}
	lease := newStoreLease(id, s.store, before, s.clock, s.timing.Deadline(sentAt), sentAt+s.timing.RenewInterval)
	s.current.Store(lease)
	return lease, nil
}

// drop ends a lease and revokes it in the store, which deletes the keys that are still
// bound to it. A lease of an earlier era is not revoked, since the store may have given
// its ID to another process.
func (s *session) drop(ctx context.Context, old *storeLease) {
	s.current.Store(nil)
	old.end()
	if old.outdated() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	// If this fails, the lease expires on its own.
	_ = s.store.Revoke(ctx, old.id)
}

// live returns the current lease, or nil if there is none or it is over.
func (s *session) live() *storeLease {
	lease := s.current.Load()
	if lease == nil || lease.remaining() <= 0 {
		return nil
	}
	return lease
}

// renew renews a lease if that is due. The new deadline counts from before the
// renewal was sent. If the response is lost, the deadline stays as it was.
func (s *session) renew(ctx context.Context, lease *storeLease) {
	if !lease.renewMu.TryLock() {
		return
	}
	defer lease.renewMu.Unlock()
	sentAt := s.clock.Now()
	if sentAt < lease.nextRenewal || lease.remaining() <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	err := s.store.KeepAlive(ctx, lease.id)
	if err == nil {
		lease.extend(s.timing.Deadline(sentAt))
		lease.nextRenewal = sentAt + s.timing.RenewInterval
		s.metrics.renewals.WithLabelValues("renewed").Inc()
		return
	}
	if fault.KindOf(err) == fault.Fenced {
		lease.end()
	}
	lease.nextRenewal = s.clock.Now() + s.timing.RenewInterval/renewRetryDivisor
	s.metrics.renewals.WithLabelValues("failed").Inc()
}

// renewRetryDivisor divides RenewInterval to get the delay before a failed renewal
// is retried.
const renewRetryDivisor = 3
