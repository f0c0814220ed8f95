package routing

// medianTracker follows the median of positive values that change slowly. Each value
// moves it by a fixed factor, so that a few far values, such as those of one slow
// engine among many, don't move it far.
type medianTracker struct {
	// median is zero before the first value.
	median float64
}

// medianStep is the factor by which one value moves the median.
const medianStep = 1.05

// add takes a value into account.
func (m *medianTracker) add(value float64) {
	switch {
	case m.median == 0:
		m.median = 1
		m.add(value)
	case value > m.median:
		m.median = min(value, m.median*medianStep)
	default:
		m.median = max(value, m.median/medianStep)
	}
}

// valueOr returns the median, or a default before the first value.
func (m *medianTracker) valueOr(value float64) float64 {
	if m.median == 0 {
		return value
	}
	return m.median
}
