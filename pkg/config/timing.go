package config

import "time"

// Timing holds the periods of a Manager.
type Timing struct {
	// StoreMaxAge is how long after a read of the store was sent the daemon
	// serves on what it showed.
	StoreMaxAge time.Duration
	// PeersMaxAge is how long after it was heard a peer's statement counts. A
	// longer silence of a peer begins a new run of statements.
	PeersMaxAge time.Duration
	// Settle is how long a run of statements must last before it counts, so
	// that statements held back in a buffer are followed by newer ones first.
	Settle time.Duration
	// BehindGrace is how long the daemon serves on while a majority of the
	// hosts has loaded something newer.
	BehindGrace time.Duration
	// Tick is the time between looks at the freshness.
	Tick time.Duration
	// ConfirmEvery is the mean time between reads of the store, ConfirmSlow
	// the same while a majority of the hosts is heard from.
	ConfirmEvery time.Duration
	ConfirmSlow  time.Duration
	// WatchFor bounds one watch.
	WatchFor time.Duration
	// CallTimeout bounds the other calls of the store.
	CallTimeout time.Duration
	// Watchers is how many daemons of the fleet keep a watch.
	Watchers int
}

// DefaultTiming returns the periods that a daemon runs with.
func DefaultTiming() Timing {
	return Timing{
		StoreMaxAge:  5 * time.Second,
		PeersMaxAge:  3 * time.Second,
		Settle:       time.Second,
		BehindGrace:  2 * time.Second,
		Tick:         250 * time.Millisecond,
		ConfirmEvery: time.Second,
		ConfirmSlow:  5 * time.Second,
		WatchFor:     10 * time.Second,
		CallTimeout:  3 * time.Second,
		Watchers:     4,
	}
}

// InForceAfter returns how long after its acceptance a change is in force at
// every daemon that serves. A peer's statement may have waited in a buffer for
// PeersMaxAge before it was heard, and counts for as long again.
func (t Timing) InForceAfter() time.Duration {
	return max(t.StoreMaxAge, 2*t.PeersMaxAge, t.BehindGrace) + t.Tick
}

// LoadWait returns how long a fresh process waits before it trusts the peers'
// statements alone: every daemon that counted its former life has forgotten it
// by then.
func (t Timing) LoadWait() time.Duration {
	return 2*t.InForceAfter() + t.Settle
}
