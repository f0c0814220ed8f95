package capacity

import (
	"math"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Sample is the time that one piece of work took.
type Sample struct {
	// Ratio is the time in relation to the time expected at an ordinary target of the
	// same group. One that is not positive is ignored.
	Ratio float64
	// Took is how long the work was at the target.
	Took time.Duration
	// InFlight is the number of requests at the target at the end of the work, this one
	// included, and Slots the number that run simultaneously; Slots is zero if it is not known.
	InFlight, Slots float64
}

// Ref identifies one incarnation of a target and its group.
type Ref struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	// Group identifies the targets that do the same work. Its median is the prior of a
	// target without samples.
	Group Group
}

// Group identifies the targets that serve one service with one software version.
type Group struct {
	Serves  string
	Version ident.SoftwareVersion
}

// Change is a lasting change of how long work takes at a target, as factors of the expected
// time.
type Change struct {
	Ref           Ref
	Before, After float64
}

// Target is what is known about one incarnation of a target.
type Target struct {
	ref      Ref
	key      uint32
	group    *group
	outbox   *Outbox
	onChange func(Change)

	mu         sync.Mutex
	slowness   slowness
	occupancy  occupancy
	pace       statedPace
	cached     cachedValue
	limitShare cachedValue
	// seenAt is when this daemon last saw the requests in flight of each bucket.
	seenAt [occupancyBuckets + 1]time.Time
}

// cachedValue is a value that is computed anew at most every cacheTime.
type cachedValue struct {
	value float64
	at    time.Time
}

// cacheTime is how long a computed value is used.
const cacheTime = 10 * time.Millisecond

// Observe takes the time of a piece of work into account, here and, with the next
// summaries, at the other daemons. Of a wait for a slot the part that the requests in flight
// explain is taken out.
func (t *Target) Observe(s Sample, now time.Time) {
	if s.Ratio <= 0 || math.IsNaN(s.Ratio) || math.IsInf(s.Ratio, 0) {
		return
	}
	t.mu.Lock()
	value := t.pace.adjust(math.Log(s.Ratio), now)
	bucket := t.highestBucket(s, now)
	t.mu.Unlock()
	if s.InFlight > s.Slots && s.Slots > 0 {
		value -= math.Log(s.InFlight / s.Slots)
	}
	t.add(bucket, value, 1, now)
	t.outbox.add(entryID{key: t.key, bucket: uint8(bucket)}, value, 1)
}

// highestBucket returns the highest bucket of requests in flight that was seen during the
// work. t.mu must be held.
func (t *Target) highestBucket(s Sample, now time.Time) int {
	bucket := bucketOf(s.InFlight, s.Slots)
	t.seenAt[bucket] = now
	for higher := waitedBucket; higher > bucket; higher-- {
		if t.seenAt[higher].After(now.Add(-s.Took)) {
			return higher
		}
	}
	return bucket
}

// add takes the mean of n samples into account. Those with more requests in flight than the
// target takes well don't count for its slowness.
func (t *Target) add(bucket int, value, n float64, now time.Time) {
	prior := t.group.median(now)
	if before, changed := t.addSample(bucket, value, n, prior, now); changed && t.onChange != nil {
		t.onChange(Change{Ref: t.ref, Before: math.Exp(before), After: t.Slowness(now.Add(cacheTime))})
	}
}

// addSample adds the mean of n samples to the estimates. It returns the estimate before, and
// whether it began anew after a change.
func (t *Target) addSample(bucket int, value, n, prior float64, now time.Time) (before float64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.slowness.value(prior, now)
	t.occupancy.add(min(bucket, occupancyBuckets-1), value, n, now)
	if float64(bucket)/occupancyBuckets >= t.share(now) {
		return before, false
	}
	changed = t.slowness.add(value, n, prior, now)
	if changed {
		t.occupancy = occupancy{}
	}
	t.group.set(t.key, t.slowness.value(prior, now))
	return before, changed
}

// StateWorkPercent records how long work takes on the target's host now by the target's
// statement, in percent of the usual time; zero if it states nothing.
func (t *Target) StateWorkPercent(percent float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pace.state(percent, now)
}

// ObserveRejection takes into account that the target rejected a request, with a number of
// requests in flight.
func (t *Target) ObserveRejection(inFlight, slots float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.occupancy.reject(inFlight, slots, now)
}

// Slowness returns how many times longer than expected work takes now. It is the median of
// the group, or one, before the first sample.
func (t *Target) Slowness(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cached.get(now, func() float64 {
		return math.Exp(t.slowness.value(t.group.median(now), now) + t.pace.effect(now))
	})
}

// Limit returns the number of requests in flight that the target takes well, at least one
// and at most its slots.
func (t *Target) Limit(slots float64, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(1, slots*t.share(now))
}

// share returns the share of its slots that the target takes well. t.mu must be held.
func (t *Target) share(now time.Time) float64 {
	return t.limitShare.get(now, func() float64 { return t.occupancy.share(t.group.median(now), now) })
}

// get returns the cached value, or computes it anew if it is old.
func (c *cachedValue) get(now time.Time, compute func() float64) float64 {
	if c.at.IsZero() || now.Sub(c.at) >= cacheTime || now.Before(c.at) {
		c.value, c.at = compute(), now
	}
	return c.value
}
