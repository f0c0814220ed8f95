package capacity

// Median follows the median of values by steps that become smaller with their number, down
// to minMedianStep. The zero value has no median yet.
type Median struct {
	value float64
	count float64
}

const (
	// firstMedianStep is the step of the first value after the initial one, and
	// minMedianStep the smallest.
	firstMedianStep = 0.5
	minMedianStep   = 0.02
)

// Add takes a value into account.
func (m *Median) Add(value float64) {
	m.count++
	step := max(minMedianStep, firstMedianStep/m.count)
	switch {
	case m.count == 1:
		m.value = value
	case value > m.value:
		m.value = min(value, m.value+step)
	default:
		m.value = max(value, m.value-step)
	}
}

// ValueOr returns the median, or a default before the first value.
func (m *Median) ValueOr(value float64) float64 {
	if m.count == 0 {
		return value
	}
	return m.value
}
