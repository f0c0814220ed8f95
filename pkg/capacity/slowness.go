package capacity

import (
	"math"
	"time"
)

// slowness estimates the logarithm of how many times longer than expected work takes. It
// is the mean of some seconds, and begins anew once samples have differed from it for
// changePersistence: shorter noise of a host is no change.
type slowness struct {
	mean decayedMean
	// suspected is the mean of the samples since suspectedAt, which may show a change. It
	// has no weight while none is suspected.
	suspected   decayedMean
	suspectedAt time.Time
	// changed is set once a change was found, which the prior doesn't include.
	changed bool
}

const (
	// slownessMemory is the time constant of the mean, and maxWeight bounds its samples.
	slownessMemory = 15 * time.Second
	maxWeight      = 200
	// priorWeight is the number of samples that the prior weighs, and changedPriorWeight
	// that after a change.
	priorWeight        = 2.0
	changedPriorWeight = 0.2
	// changePersistence is how long samples must differ from the mean. Noise of hosts
	// lasts about 600 ms.
	changePersistence = 700 * time.Millisecond
	// changeEvidence is the least product of the number of samples that differ and the
	// square of their deviation: four standard errors of samples that spread by a half.
	changeEvidence = 4.0
	// minChangeSamples is the least number of samples that show a change.
	minChangeSamples = 3
	// minDeviation is the deviation at which a change is suspected, and cancelDeviation
	// that below which it no longer is.
	minDeviation    = 0.35
	cancelDeviation = 0.2
	// maxDeviation bounds how far a sample counts as being from the estimate. It is a
	// factor of five.
	maxDeviation = 1.6
	// maxSlowness bounds the estimate in both directions. It is a factor of 16.
	maxSlowness = 2.77
)

// add takes the mean of n samples into account. It reports whether the estimate began anew
// after a change.
func (s *slowness) add(value, n, prior float64, now time.Time) bool {
	current := s.value(prior, now)
	s.mean.add(clamp(value, current-maxDeviation, current+maxDeviation), n, maxWeight, slownessMemory, now)
	return s.suspect(clamp(value, -maxSlowness, maxSlowness), n, current, now)
}

// suspect looks for a change of the current value, and reports whether there is one.
func (s *slowness) suspect(value, n, current float64, now time.Time) bool {
	if s.suspected.weight == 0 {
		if math.Abs(value-current) < minDeviation {
			return false
		}
		s.suspectedAt = now
	}
	s.suspected.weight += n
	s.suspected.sum += n * value
	deviation := s.suspected.sum/s.suspected.weight - current
	switch {
	case math.Abs(deviation) < cancelDeviation:
		s.suspected = decayedMean{}
	case s.suspected.weight < minChangeSamples || now.Sub(s.suspectedAt) < changePersistence:
	case s.suspected.weight*deviation*deviation >= changeEvidence:
		s.mean = s.suspected
		s.mean.at, s.changed = now, true
		s.suspected = decayedMean{}
		return true
	}
	return false
}

// value returns the estimate. prior is the value before the first sample.
func (s *slowness) value(prior float64, now time.Time) float64 {
	weight := priorWeight
	if s.changed {
		weight = changedPriorWeight
	}
	return clamp(s.mean.valueWith(prior, weight, slownessMemory, now), -maxSlowness, maxSlowness)
}

// clamp returns the value limited to a range.
func clamp(value, low, high float64) float64 { return min(high, max(low, value)) }
