package quota

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// Limit is the limit of one workspace for all daemons together.
type Limit struct {
	// Unit is what the limit counts.
	Unit config.QuotaUnit
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Bounds are the tolerance with which limits are enforced: within any Window, a workspace
// may use (Rate * Window + Burst) * (1 + Overshoot) + Slack units. The zero value means
// that no tolerance is known.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	// Slack is in units.
	Slack float64
}

const (
	// minLease and maxLease bound the time for which granted units may be used.
	minLease = 200 * time.Millisecond
	maxLease = 2 * time.Second
	// leaseShare is the part of the overshoot that leases use.
	leaseShare = 0.25
	// creditShare is the part of the slack that hosts may use before a keeper has granted
	// it. reserveShare is the part that is not granted at all: for requests above a
	// keeper's burst, for second runs of requests, and for hosts that disagree for a moment
	// about the keepers.
	creditShare  = 1.0 / 8
	reserveShare = 1.0 / 4
	// rateShare is the part of the remaining tolerance that is added to the rate. The rest
	// is added to the burst.
	rateShare = 0.75
)

// lease returns how long granted units may be used. In any window the fleet uses at most
// what one lease more would allow.
func (b Bounds) lease() time.Duration {
	return min(maxLease, max(minLease, time.Duration(float64(b.Window)*b.Overshoot*leaseShare)))
}

// credit returns the units that one of the given number of hosts may use before a keeper
// has granted them.
func (b Bounds) credit(hosts int) float64 { return b.Slack * creditShare / float64(max(1, hosts)) }

// part returns what one of the given number of keepers grants. Both grant more than the
// limit, by the tolerance that is not used otherwise: a request that one bucket for the
// whole fleet would admit is then rarely refused because of how units are spread. The
// burst is at least what the rate gives within a lease.
func (b Bounds) part(limit Limit, keepers int) Limit {
	window, lease := b.Window.Seconds(), b.lease().Seconds()
	spare := b.Overshoot*(limit.Rate*window+limit.Burst) + b.Slack*(1-creditShare-reserveShare) - limit.Rate*lease
	granted := limit
	if spare > 0 && window > 0 {
		// The added rate counts for a window and a lease.
		granted.Rate += spare * rateShare / (window + lease)
		granted.Burst += spare * (1 - rateShare)
	}
	granted.Burst = max(granted.Burst, granted.Rate*lease)
	count := float64(max(1, keepers))
	granted.Rate /= count
	granted.Burst /= count
	return granted
}
