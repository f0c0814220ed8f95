package tally

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// minSamples is how many other daemons must have sent their time before the
	// daemon's own time is corrected by it.
	minSamples = 2
	// maxSampleAge is how long the time sent by another daemon is used.
	maxSampleAge = 10 * time.Second
	// minCorrection is the smallest difference that is corrected. It is longer
	// than a message takes to arrive and short compared with a window.
	minCorrection = 250 * time.Millisecond
	// confirmFor is how long a difference must last before it is corrected: a
	// daemon whose process was frozen first receives messages that are old.
	confirmFor = 500 * time.Millisecond
	// correctionPeriod is how long after its start a daemon's time is corrected.
	// Later its monotonic clock is more reliable than messages, which may be
	// delayed.
	correctionPeriod = 30 * time.Second
)

// TimeCorrector corrects the SteadyWallClock of a daemon that started while its time of
// day was wrong, by the median of the times that the other daemons send.
type TimeCorrector struct {
	time *SteadyWallClock
	log  *slog.Logger

	mu      sync.Mutex
	samples map[ident.Host]sample
	// startedAt is the daemon's start; differsSince is when the current
	// difference was first seen, or zero.
	startedAt, differsSince time.Time
}

// sample is the offset of another daemon's time from this daemon's, and when it was
// received.
type sample struct {
	offset     time.Duration
	receivedAt time.Time
}

// NewTimeCorrector returns a corrector without samples.
func NewTimeCorrector(t *SteadyWallClock, log *slog.Logger) *TimeCorrector {
	return &TimeCorrector{time: t, log: log, samples: make(map[ident.Host]sample), startedAt: time.Now()}
}

// AddSample records the SteadyWallClock time in a message that was just received from
// another daemon, and corrects this daemon's time if the difference has lasted for
// confirmFor.
func (c *TimeCorrector) AddSample(from ident.Host, theirTime time.Time) {
	now := time.Now()
	if now.Sub(c.startedAt) > correctionPeriod {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[from] = sample{offset: theirTime.Sub(c.time.Now()), receivedAt: now}
	offset, ok := c.median()
	if !ok || offset.Abs() < minCorrection {
		c.differsSince = time.Time{}
		return
	}
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	if now.Sub(c.differsSince) >= confirmFor {
		c.correct(offset)
	}
}

// correct shifts the daemon's time and adjusts the samples to it.
func (c *TimeCorrector) correct(offset time.Duration) {
	c.differsSince = time.Time{}
	c.time.shift(offset)
	for host, s := range c.samples {
		s.offset -= offset
		c.samples[host] = s
	}
	c.log.Warn("true time corrected", "by", offset, "voices", len(c.samples))
}

// median returns the median offset of all daemons, this one included with zero, or
// false with too few samples. Of two middle offsets it takes the one closer to zero.
func (c *TimeCorrector) median() (time.Duration, bool) {
	offsets := []time.Duration{0}
	for host, s := range c.samples {
		if time.Since(s.receivedAt) > maxSampleAge {
			delete(c.samples, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) <= minSamples {
		return 0, false
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if low.Abs() < high.Abs() {
		return low, true
	}
	return high, true
}
