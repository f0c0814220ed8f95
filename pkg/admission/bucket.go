package admission

import "time"

// bucket is a token bucket that may fall below zero by what others took.
// x/time/rate has no debit without a wait, which the other daemons' use needs.
type bucket struct {
	// level is what may be taken; it is at most the burst.
	level float64
	// at is when level held; zero before the first refill.
	at time.Time
}

// refill raises the level to now's at rate units a second, up to burst.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.level = burst
		b.at = now
		return
	}
	b.level = min(burst, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
}

// follow empties the bucket while the fleet's is empty. Else every daemon would
// have saved up a burst by the time that the fleet's has something again.
func (b *bucket) follow(fleet *bucket) {
	if fleet.level <= 0 {
		b.level = min(b.level, 0)
	}
}

// wait returns how long until amount may be taken at rate units a second. An
// amount above the burst needs a full bucket.
func (b *bucket) wait(amount, rate, burst float64) time.Duration {
	missing := min(amount, burst) - b.level
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return longWait
	}
	return min(longWait, time.Duration(missing/rate*float64(time.Second))+time.Millisecond)
}

// longWait is the longest time to come back after that is told.
const longWait = time.Hour
