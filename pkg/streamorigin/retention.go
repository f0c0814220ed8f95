package streamorigin

import "time"

// defaultRetention is used until the time in force is known.
const defaultRetention = 30 * time.Second

// retention is how long after its beginning a stream is remembered. A time that is no longer
// in force counts for as long as streams that began under it may be taken up.
type retention struct {
	// longest is the longest time that counts, or zero, and inForceAt when it was last in
	// force.
	longest   time.Duration
	inForceAt time.Time
}

// update takes over the time that is in force now, or zero if it is not known, and returns the
// time that counts.
func (r *retention) update(now time.Time, inForce time.Duration) time.Duration {
	if inForce > 0 && (inForce >= r.longest || now.Sub(r.inForceAt) > r.longest) {
		r.longest, r.inForceAt = inForce, now
	}
	if r.longest == 0 {
		return defaultRetention
	}
	return r.longest
}

// raise takes over a time that was in force before this process knew it, if it is longer.
func (r *retention) raise(now time.Time, recorded time.Duration) {
	if recorded > r.longest {
		r.longest, r.inForceAt = recorded, now
	}
}
