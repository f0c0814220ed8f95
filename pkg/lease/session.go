package lease

import (
	"context"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// session keeps the process's lease of the store. It exists only while the
// process holds a duty, so that candidates cost the store no writes.
type session struct {
	store   external.Store
	clock   clock.Clock
	terms   Terms
	metrics *metrics

	// opening holds one token, which open takes while it calls the store.
	opening chan struct{}
	// current is changed by the opening token's taker alone.
	current atomic.Pointer[tenure]
}

// newSession returns a session without a lease.
func newSession(opts Options, m *metrics) *session {
	return &session{
		store: opts.Store, clock: opts.Clock, terms: opts.Terms, metrics: m,
		opening: make(chan struct{}, 1),
	}
}

// open returns a tenure with at least half its time left, granting one where
// there is none.
func (s *session) open(ctx context.Context) (*tenure, error) {
	select {
	case s.opening <- struct{}{}:
	case <-ctx.Done():
		return nil, external.ErrStoreUnavailable
	}
	defer func() { <-s.opening }()
	if t := s.current.Load(); t != nil {
		s.renew(ctx, t)
		left := t.left()
		if left > s.terms.TTL/2 {
			return t, nil
		}
		if left > 0 {
			return nil, external.ErrStoreUnavailable
		}
		s.drop(ctx, t)
	}
	ctx, cancel := context.WithTimeout(ctx, s.terms.CallTimeout)
	defer cancel()
	sentAt := s.clock.Now()
	id, err := s.store.Grant(ctx, s.terms.TTL)
	if err != nil {
		return nil, err
	}
	t := newTenure(id, s.clock, s.terms.Deadline(sentAt), sentAt+s.terms.RenewEvery)
	s.current.Store(t)
	return t, nil
}

// drop ends a tenure and tells the store, which frees the keys that are still
// bound to it.
func (s *session) drop(ctx context.Context, old *tenure) {
	s.current.Store(nil)
	old.end()
	ctx, cancel := context.WithTimeout(ctx, s.terms.CallTimeout)
	defer cancel()
	// The lease lapses by itself where this fails.
	_ = s.store.Revoke(ctx, old.id)
}

// live returns the present tenure, or nil where there is none or it is over.
func (s *session) live() *tenure {
	t := s.current.Load()
	if t == nil || t.left() <= 0 {
		return nil
	}
	return t
}

// renew renews a tenure where that is due. The new deadline counts from before
// the renewal was sent. An answer that was lost leaves the deadline as it was.
func (s *session) renew(ctx context.Context, t *tenure) {
	if !t.renewing.TryLock() {
		return
	}
	defer t.renewing.Unlock()
	sentAt := s.clock.Now()
	if sentAt < t.nextRenewal || t.left() <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.terms.CallTimeout)
	defer cancel()
	err := s.store.KeepAlive(ctx, t.id)
	if err == nil {
		t.extend(s.terms.Deadline(sentAt))
		t.nextRenewal = sentAt + s.terms.RenewEvery
		s.metrics.renewals.WithLabelValues("renewed").Inc()
		return
	}
	if fault.KindOf(err) == fault.Fenced {
		t.end()
	}
	t.nextRenewal = s.clock.Now() + s.terms.RenewEvery/retryShare
	s.metrics.renewals.WithLabelValues("failed").Inc()
}

// retryShare is how many times sooner than usual a failed renewal is repeated.
const retryShare = 3
