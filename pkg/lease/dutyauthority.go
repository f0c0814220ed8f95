package lease

import (
	"sync"

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

// end ends the authority over this duty only; other duties under the same lease
// keep theirs.
func (a *dutyAuthority) end() { a.once.Do(func() { close(a.ended) }) }
