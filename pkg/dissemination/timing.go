package dissemination

import "time"

// Timing holds the periods of a node.
type Timing struct {
	// BundleEvery is the time between an origin's bundles.
	BundleEvery time.Duration
	// ForwardEvery is the time between forwards of bundles that aren't urgent.
	ForwardEvery time.Duration
	// ReconcileEvery is the mean time between reconciliations with another
	// daemon.
	ReconcileEvery time.Duration
	// ForgetAfter is how long a silent origin's items are kept. It exceeds the
	// longest network partition that consumption must survive.
	ForgetAfter time.Duration
}

const (
	// TickEvery is the time between ticks of a node; bundles that arrive in
	// between are forwarded in one frame.
	TickEvery = 100 * time.Millisecond
	// bundleEveryPerHost is each host's share of the bundle period.
	bundleEveryPerHost = 12 * time.Millisecond
	// minBundleEvery and maxBundleEvery bound the bundle period.
	minBundleEvery = 500 * time.Millisecond
	maxBundleEvery = 4 * time.Second
	// forwardEvery is the time between forwards in a fleet of more than
	// smallFleet hosts; a smaller one forwards on every tick.
	forwardEvery = 200 * time.Millisecond
	smallFleet   = 64
	// catchUpEvery is the time between reconciliations of a daemon that has
	// not caught up.
	catchUpEvery = 500 * time.Millisecond
	// reconcileEvery is the mean time between reconciliations.
	reconcileEvery = 10 * time.Second
	// forgetAfter is how long a silent origin is kept.
	forgetAfter = time.Hour
	// overduePeriods is how many bundle periods an origin is silent before
	// its bundles are requested from another daemon.
	overduePeriods = 2.5
	// maxRequests bounds the requests for one silent origin.
	maxRequests = 3
)

// TimingFor returns the periods for a fleet of the given number of hosts.
func TimingFor(hosts int) Timing {
	forward := TickEvery
	if hosts > smallFleet {
		forward = forwardEvery
	}
	return Timing{
		ForwardEvery:   forward,
		BundleEvery:    min(max(time.Duration(hosts)*bundleEveryPerHost, minBundleEvery), maxBundleEvery),
		ReconcileEvery: reconcileEvery,
		ForgetAfter:    forgetAfter,
	}
}
