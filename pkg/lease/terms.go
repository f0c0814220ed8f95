package lease

import "time"

// Terms are the times that a lease runs by. They are the same in all processes.
type Terms struct {
	// TTL is how long the store keeps a lease after its last renewal.
	TTL time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// PollEvery is the time between a candidate's reads of a duty, and
	// PollJitter the greatest share by which it is changed at random.
	PollEvery  time.Duration
	PollJitter float64
	// VerifyEvery is the time between a holder's reads of its own duty.
	VerifyEvery time.Duration
	// RankWait is how much longer each further rank waits before it takes a
	// duty that is free.
	RankWait time.Duration
	// Candidates is how many ranks look at a duty at all.
	Candidates int
	// ClockRate is the greatest relative difference between the speeds of the
	// holder's and the store's clock.
	ClockRate float64
	// MarginFixed is taken off each deadline besides, for the granularity of
	// clocks.
	MarginFixed time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// ReleaseFor is how long a holder that stops goes on trying to free its duty.
	ReleaseFor time.Duration
}

// DefaultTerms returns the terms of a production run.
func DefaultTerms() Terms {
	return Terms{
		TTL:         9 * time.Second,
		RenewEvery:  3 * time.Second,
		PollEvery:   2 * time.Second,
		PollJitter:  0.2,
		VerifyEvery: 10 * time.Second,
		RankWait:    time.Second,
		Candidates:  3,
		ClockRate:   0.01,
		MarginFixed: 50 * time.Millisecond,
		CallTimeout: 2 * time.Second,
		ReleaseFor:  6 * time.Second,
	}
}

// Deadline returns when authority ends by the holder's clock, given the time
// before the renewal was sent. The store counts the TTL from a later moment,
// and its clock is at most ClockRate faster, so it ends the lease later.
func (t Terms) Deadline(sentAt time.Duration) time.Duration {
	slack := time.Duration(float64(t.TTL) * t.ClockRate)
	return sentAt + t.TTL - slack - t.MarginFixed
}

// WaitOf returns how long a candidate waits before it takes a free duty. A
// candidate that holds others already waits longer, which spreads the duties.
func (t Terms) WaitOf(rank, held int) time.Duration {
	return time.Duration(rank)*t.RankWait + time.Duration(held)*t.RankWait/heldShare
}

// heldShare is how many held duties delay a candidate as much as one rank.
const heldShare = 4

// PollAfter returns the pause before the next read, for a random number in
// [0,1).
func (t Terms) PollAfter(random float64) time.Duration {
	change := (2*random - 1) * t.PollJitter
	return time.Duration(float64(t.PollEvery) * (1 + change))
}
