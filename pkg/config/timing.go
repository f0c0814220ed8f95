package config

import "time"

// Timing holds the intervals and timeouts of a Manager.
type Timing struct {
	// StoreMaxAge is how long the daemon may serve on a read of the store,
	// counted from when the read was sent.
	StoreMaxAge time.Duration
	// PeersMaxAge is how long a peer's report counts after it was received. A
	// longer gap between reports starts a new series.
	PeersMaxAge time.Duration
	// SettleTime is how long a series of reports must last before it counts, so
	// that buffered reports are followed by newer ones first.
	SettleTime time.Duration
	// BehindGrace is how long the daemon keeps serving while a majority of the
	// hosts has loaded newer control state.
	BehindGrace time.Duration
	// EvaluateInterval is the interval between freshness evaluations.
	EvaluateInterval time.Duration
	// ConfirmInterval is the mean time between reads of the store, and
	// SlowConfirmInterval the same while a majority of the hosts reports.
	ConfirmInterval     time.Duration
	SlowConfirmInterval time.Duration
	// WatchTimeout bounds one watch call.
	WatchTimeout time.Duration
	// CallTimeout bounds one confirmation: its reads of the store and the
	// advance of the marker.
	CallTimeout time.Duration
	// Watchers is how many daemons of the fleet keep a watch open.
	Watchers int
}

// DefaultTiming returns the default intervals and timeouts.
func DefaultTiming() Timing {
	return Timing{
		StoreMaxAge:         5 * time.Second,
		PeersMaxAge:         3 * time.Second,
		SettleTime:          time.Second,
		BehindGrace:         2 * time.Second,
		EvaluateInterval:    250 * time.Millisecond,
		ConfirmInterval:     time.Second,
		SlowConfirmInterval: 5 * time.Second,
		WatchTimeout:        10 * time.Second,
		CallTimeout:         3 * time.Second,
		Watchers:            4,
	}
}

// PropagationBound returns how long after its acceptance a change has taken effect
// on every serving daemon. A peer's report may have been buffered for PeersMaxAge
// before it was received, and counts for as long again.
func (t Timing) PropagationBound() time.Duration {
	return max(t.StoreMaxAge, 2*t.PeersMaxAge, t.BehindGrace) + t.EvaluateInterval
}

// RejoinDelay returns how long a newly started process waits before it relies on
// the peers' reports alone. By then no daemon counts its previous incarnation any
// more.
func (t Timing) RejoinDelay() time.Duration {
	return 2*t.PropagationBound() + t.SettleTime
}
