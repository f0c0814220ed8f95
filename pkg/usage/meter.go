package usage

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Meter sums the records of one daemon by window.
type Meter struct {
	window time.Duration

	mu      sync.Mutex
	windows map[int64]lineSums
}

var _ Recorder = (*Meter)(nil)

// NewMeter returns a meter with windows of the given length.
func NewMeter(window time.Duration) *Meter {
	return &Meter{window: window, windows: make(map[int64]lineSums)}
}

// Record counts one request in the window of its time.
func (m *Meter) Record(record Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	start := record.At.Truncate(m.window)
	sums := m.windows[start.UnixNano()]
	if sums == nil {
		sums = make(lineSums)
		m.windows[start.UnixNano()] = sums
	}
	sums.add(start, record)
}

// Take removes and returns the lines of the windows that ended before the
// given time, by the start of their window.
func (m *Meter) Take(before time.Time) map[time.Time][]platform.UsageLine {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := make(map[time.Time][]platform.UsageLine)
	for nanos, sums := range m.windows {
		start := time.Unix(0, nanos).UTC()
		if start.Add(m.window).After(before) {
			continue
		}
		taken[start] = sums.sorted()
		delete(m.windows, nanos)
	}
	return taken
}
