package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay of a rate.
const rateTimeConstant = 5 * time.Second

// rate is an exponentially decaying mean of an amount per second.
type rate struct {
	mean float64
	// updatedAt is the time at which mean was computed.
	updatedAt time.Time
}

// add records an amount at the given time.
func (r *rate) add(amount float64, now time.Time) {
	r.mean = r.at(now) + amount/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// at returns the mean at the given time.
func (r *rate) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.mean * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
