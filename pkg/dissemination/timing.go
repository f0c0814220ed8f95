package dissemination

import "time"

// Timing holds the intervals of a node.
type Timing struct {
	// BundleInterval is the time between an origin's bundles.
	BundleInterval time.Duration
	// ForwardInterval is the time between forwards of bundles that aren't urgent.
	ForwardInterval time.Duration
	// ReconcileInterval is the mean time between reconciliations with another
	// daemon.
	ReconcileInterval time.Duration
	// ForgetAfter is how long a silent origin's items are kept. It exceeds the
	// longest network partition that consumption must survive.
	ForgetAfter time.Duration
}

const (
	// TickInterval is the time between ticks of a node; bundles that arrive in
	// between are forwarded in one frame.
	TickInterval = 100 * time.Millisecond
	// bundleIntervalPerHost is each host's share of the bundle interval.
	bundleIntervalPerHost = 12 * time.Millisecond
	// minBundleInterval and maxBundleInterval bound the bundle interval.
	minBundleInterval = 500 * time.Millisecond
	maxBundleInterval = 4 * time.Second
	// forwardInterval is the time between forwards in a fleet of more than
	// smallFleet hosts; a smaller one forwards on every tick.
	forwardInterval = 200 * time.Millisecond
	smallFleet      = 64
	// catchUpInterval is the time between reconciliations of a daemon that has
	// not caught up.
	catchUpInterval = 500 * time.Millisecond
	// reconcileInterval is the mean time between reconciliations.
	reconcileInterval = 10 * time.Second
	// forgetAfter is how long a silent origin is kept.
	forgetAfter = time.Hour
	// overduePeriods is how many bundle intervals an origin is silent before
	// its bundles are requested from another daemon.
	overduePeriods = 2.5
	// maxRequests bounds the requests for one silent origin.
	maxRequests = 3
)

// TimingFor returns the intervals for a fleet of the given number of hosts.
func TimingFor(hosts int) Timing {
	forward := TickInterval
	if hosts > smallFleet {
		forward = forwardInterval
	}
	return Timing{
		ForwardInterval:   forward,
		BundleInterval:    min(max(time.Duration(hosts)*bundleIntervalPerHost, minBundleInterval), maxBundleInterval),
		ReconcileInterval: reconcileInterval,
		ForgetAfter:       forgetAfter,
	}
}
