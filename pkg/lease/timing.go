package lease

import "time"

// Timing configures the timing of leases and of the competition for duties. All
// processes use the same values.
type Timing struct {
	// TTL is how long the store keeps a lease after its last renewal.
	TTL time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between a candidate's reads of a duty. PollJitter
	// is the largest fraction of it that is added or subtracted at random.
	PollInterval time.Duration
	PollJitter   float64
	// VerifyInterval is the time between a holder's reads of its own duty.
	VerifyInterval time.Duration
	// RankWait is how much longer each later rank waits before it acquires a free
	// duty; rank 0 is the first.
	RankWait time.Duration
	// MaxCandidates is how many processes, from rank 0 on, read a duty at all.
	MaxCandidates int
	// MaxClockDrift is the greatest relative difference between the rates of
	// the holder's and the store's clocks.
	MaxClockDrift float64
	// FixedMargin is also subtracted from each deadline, to allow for the
	// granularity of clocks.
	FixedMargin time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// HandoverDelay is how long after a change of holder a call of the former one may still
	// take effect, and within which two hosts must not take turns. The work of a new holder
	// begins that much later, unless the former one has recorded that all its calls were
	// answered and took the duty from another host. Zero stands for receivers that refuse old
	// fencing tokens themselves.
	HandoverDelay time.Duration
	// ReleaseFor is how long a stopping holder keeps trying to release its duty.
	ReleaseFor time.Duration
}

// DefaultTiming returns the values for production.
func DefaultTiming() Timing {
	return Timing{
		TTL:            9 * time.Second,
		RenewInterval:  3 * time.Second,
		PollInterval:   2 * time.Second,
		PollJitter:     0.2,
		VerifyInterval: 10 * time.Second,
		RankWait:       time.Second,
		MaxCandidates:  3,
		MaxClockDrift:  0.01,
		FixedMargin:    50 * time.Millisecond,
		CallTimeout:    2 * time.Second,
		ReleaseFor:     6 * time.Second,
	}
}

// Deadline returns when authority ends by the holder's clock. sentAt is the time
// just before the grant or renewal was sent. The store counts the TTL from a later
// moment, and its clock is faster by at most MaxClockDrift, so it ends the lease
// after this deadline.
func (t Timing) Deadline(sentAt time.Duration) time.Duration {
	drift := time.Duration(float64(t.TTL) * t.MaxClockDrift)
	return sentAt + t.TTL - drift - t.FixedMargin
}

// EraDelay returns how long after a process first knew of the store's present era no
// other process can hold a duty by a lease of an earlier one: such a lease was last
// renewed before the store came back.
func (t Timing) EraDelay() time.Duration {
	return t.TTL + time.Duration(float64(t.TTL)*t.MaxClockDrift)
}

// AcquireDelay returns how long a duty must have been free before a candidate
// acquires it. A candidate that already holds other duties waits longer, which
// spreads the duties over the processes.
func (t Timing) AcquireDelay(rank, held int) time.Duration {
	return time.Duration(rank)*t.RankWait + time.Duration(held)*t.RankWait/heldDutiesPerRank
}

// heldDutiesPerRank is how many held duties delay a candidate as much as one rank.
const heldDutiesPerRank = 4

// PollDelay returns the delay before the next read, for a random number in
// [0,1).
func (t Timing) PollDelay(random float64) time.Duration {
	jitter := (2*random - 1) * t.PollJitter
	return time.Duration(float64(t.PollInterval) * (1 + jitter))
}
