package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// dutyAuthority is the authority over one duty while its key is bound to one
// store lease.
type dutyAuthority struct {
	duty    ident.Duty
	fencing ident.FencingToken
	lease   *storeLease
	once    sync.Once
	// ended is closed once the process has stopped holding the duty or has found
	// its key changed in the store.
	ended chan struct{}
	// lastUnanswered is when the last call without an answer ended, by the lease's clock in
	// nanoseconds, or zero if all calls were answered.
	lastUnanswered atomic.Int64
}

var _ Authority = (*dutyAuthority)(nil)

// Duty returns the held duty.
func (a *dutyAuthority) Duty() ident.Duty { return a.duty }

// Fencing returns the fencing token to send with every effect.
func (a *dutyAuthority) Fencing() ident.FencingToken { return a.fencing }

// Check fails with ErrLost unless the duty is certain to be held now.
func (a *dutyAuthority) Check() error {
	select {
	case <-a.ended:
		return ErrLost
	default:
	}
	if a.lease.remaining() <= 0 {
		return ErrLost
	}
	return nil
}

// Call makes one call and records whether it was answered.
func (a *dutyAuthority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return CallUnder(ctx, a, func(ctx context.Context) error {
		err := send(ctx)
		if !answered(err) {
			a.lastUnanswered.Store(max(1, int64(a.lease.clock.Now())))
		}
		return err
	})
}

// answered reports whether the error of a call means that it was answered or not sent.
func answered(err error) bool {
	kind := fault.KindOf(err)
	return err == nil || kind != fault.Unknown && kind != fault.Internal
}

// unansweredSince reports whether a call ended without an answer at or after a time of the
// lease's clock.
func (a *dutyAuthority) unansweredSince(since time.Duration) bool {
	last := a.lastUnanswered.Load()
	return last != 0 && time.Duration(last) >= since
}

// end ends the authority over this duty only; other duties under the same lease
// keep theirs.
func (a *dutyAuthority) end() { a.once.Do(func() { close(a.ended) }) }
