package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
)

// slotValidity is how long after a request got a slot of its target's limit it may be
// written. One that waits longer for its connection needs another slot, since others were
// given out meanwhile.
const slotValidity = 500 * time.Millisecond

// limitedSend is a request as the limit of its target counts it.
type limitedSend struct {
	limits      *targetlimit.Table
	now         func() time.Time
	target      ident.Target
	incarnation ident.Incarnation
	// takenAt is when the request got a slot, or zero if its target had no limit.
	takenAt time.Time
}

// take uses a slot for the request, or returns why it has none.
func (s *limitedSend) take() error {
	wait, limited := s.limits.Take(s.target, s.incarnation)
	if limited && wait == 0 {
		s.takenAt = s.now()
	}
	return limitError(wait)
}

// check uses a slot unless the request has one that is still valid. Its target may have
// stated a limit since the request began.
func (s *limitedSend) check() error {
	if !s.takenAt.IsZero() && s.now().Sub(s.takenAt) < slotValidity {
		return nil
	}
	return s.take()
}
