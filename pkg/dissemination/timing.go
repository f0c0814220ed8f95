package dissemination

import "time"

// Timing holds the periods of a node.
type Timing struct {
	// BundleEvery is the time between an origin's bundles.
	BundleEvery time.Duration
	// ForwardEvery is the time between forwards of bundles that aren't urgent.
	ForwardEvery time.Duration
	// CompareEvery is the time between comparisons with another daemon.
	CompareEvery time.Duration
	// ForgetAfter is how long a silent origin's items are kept. It exceeds
	// every parting that consumption must survive.
	ForgetAfter time.Duration
}

const (
	// TickEvery is the time between ticks of a node; what came in between is
	// forwarded in one frame.
	TickEvery = 100 * time.Millisecond
	// hostShare is the bundle period's part for each host.
	hostShare = 12 * time.Millisecond
	// minBundleEvery and maxBundleEvery bound the bundle period.
	minBundleEvery = 500 * time.Millisecond
	maxBundleEvery = 4 * time.Second
	// forwardEvery is the time between forwards in a large fleet, which has
	// more than smallFleet hosts; a small one forwards at every tick.
	forwardEvery = 200 * time.Millisecond
	smallFleet   = 64
	// catchUpEvery is the time between comparisons of a fresh daemon.
	catchUpEvery = 500 * time.Millisecond
	// compareEvery is the time between comparisons.
	compareEvery = 10 * time.Second
	// forgetAfter is how long a silent origin is kept.
	forgetAfter = time.Hour
	// overdueBundles is how many periods an origin is silent before it is
	// asked after.
	overdueBundles = 2.5
	// maxAsks bounds the questions after one silent origin.
	maxAsks = 3
)

// TimingFor returns the periods for a fleet of so many hosts.
func TimingFor(hosts int) Timing {
	forward := TickEvery
	if hosts > smallFleet {
		forward = forwardEvery
	}
	return Timing{
		ForwardEvery: forward,
		BundleEvery:  min(max(time.Duration(hosts)*hostShare, minBundleEvery), maxBundleEvery),
		CompareEvery: compareEvery,
		ForgetAfter:  forgetAfter,
	}
}
