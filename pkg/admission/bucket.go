package admission

import "time"

// bucket is a token bucket whose level may become negative, since usage at other
// daemons and usage above the expected tokens are charged after the fact.
// x/time/rate can't be used, since it has no unconditional debit.
type bucket struct {
	// level is the available amount; it is at most the burst.
	level float64
	// updatedAt is the time of the last refill; zero before the first.
	updatedAt time.Time
}

// refill adds rate units per second since the last refill, up to burst. The first
// refill fills the bucket.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.updatedAt.IsZero() {
		b.level = burst
		b.updatedAt = now
		return
	}
	b.level = min(burst, b.level+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
}

// drainWith limits the level to zero while the fleet's bucket is empty. Otherwise
// every daemon would have accumulated a burst by the time the fleet's bucket has
// tokens again.
func (b *bucket) drainWith(fleet *bucket) {
	if fleet.level <= 0 {
		b.level = min(b.level, 0)
	}
}

// wait returns how long until amount is available at rate units per second. An
// amount above the burst needs a full bucket.
func (b *bucket) wait(amount, rate, burst float64) time.Duration {
	missing := min(amount, burst) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/rate*float64(time.Second))+time.Millisecond)
}

// maxRetryAfter is the longest delay that a refusal advises.
const maxRetryAfter = time.Hour
