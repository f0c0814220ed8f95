package admission

import "time"

// TokenBucket is a token bucket that is empty at the beginning. Its level may become
// negative. It is not safe for concurrent use.
type TokenBucket struct{ bucket bucket }

// Refill adds rate units per second since the last refill, up to burst. The first refill
// adds nothing.
func (t *TokenBucket) Refill(now time.Time, rate, burst float64) {
	if t.bucket.updatedAt.IsZero() {
		t.bucket.updatedAt = now
	}
	t.bucket.refill(now, rate, burst)
}

// Level returns the units in the bucket.
func (t *TokenBucket) Level() float64 { return t.bucket.level }

// Charge takes units out of the bucket. A negative amount is returned to it.
func (t *TokenBucket) Charge(amount float64) { t.bucket.level -= amount }

// Wait returns how long it takes until the bucket has the amount at rate units per second,
// or is full if its burst is less.
func (t *TokenBucket) Wait(amount, rate, burst float64) time.Duration {
	return t.bucket.wait(amount, rate, burst)
}
