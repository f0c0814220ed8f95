package capacity

import (
	"math"
	"time"
)

// statedPace is how long work takes on a target's host by the target's own statement. It
// is used as long as the times of answers vary less with it than without it, since a
// target may state anything.
type statedPace struct {
	// value is the logarithm of the stated factor at the time at.
	value float64
	at    time.Time
	// plain and adjusted are the moments of the samples as measured and with the stated
	// factor taken out.
	plain, adjusted moments
}

// moments are the decayed mean and mean square of values.
type moments struct{ mean, square decayedMean }

const (
	// paceMemory is the time constant of the moments, and minPaceWeight the samples before
	// a statement is used.
	paceMemory    = 10 * time.Second
	minPaceWeight = 8
	// paceGain is the part of the variance that a statement must leave at most.
	paceGain = 0.8
	// paceDecay is the time constant with which a statement loses its effect: it changes
	// many times a second.
	paceDecay = 300 * time.Millisecond
	// maxPace bounds the logarithm of a stated factor. It is a factor of ten.
	maxPace = 2.3
)

// state records the stated factor in percent. Zero means that there is none.
func (p *statedPace) state(percent float64, now time.Time) {
	if percent <= 0 {
		p.at = time.Time{}
		return
	}
	p.value, p.at = clamp(math.Log(percent/100), -maxPace, maxPace), now
}

// adjust returns a sample of the work that the stated factor applied to, with the factor
// taken out if it is used.
func (p *statedPace) adjust(value float64, now time.Time) float64 {
	if p.at.IsZero() {
		return value
	}
	adjusted := value - p.value
	p.plain.add(value, now)
	p.adjusted.add(adjusted, now)
	if p.used(now) {
		return adjusted
	}
	return value
}

// effect returns the logarithm of the factor that applies now. It is zero if the
// statement is old or is not used.
func (p *statedPace) effect(now time.Time) float64 {
	if p.at.IsZero() || p.value == 0 || !p.used(now) {
		return 0
	}
	return p.value * math.Exp(-max(0, now.Sub(p.at).Seconds())/paceDecay.Seconds())
}

// used reports whether the statements explain the times of answers.
func (p *statedPace) used(now time.Time) bool {
	return p.plain.mean.weight >= minPaceWeight && p.adjusted.variance(now) < paceGain*p.plain.variance(now)
}

// add takes a value into account.
func (m *moments) add(value float64, now time.Time) {
	m.mean.add(value, 1, math.Inf(1), paceMemory, now)
	m.square.add(value*value, 1, math.Inf(1), paceMemory, now)
}

// variance returns the variance of the values.
func (m *moments) variance(now time.Time) float64 {
	mean := m.mean.valueWith(0, 0, paceMemory, now)
	return max(0, m.square.valueWith(0, 0, paceMemory, now)-mean*mean)
}
