package admission

import (
	"math"
	"time"
)

// rateConstant is the time constant of a mean rate.
const rateConstant = 5 * time.Second

// rate is a mean of what came each second.
type rate struct {
	mean float64
	// when is the time that mean holds for.
	when time.Time
}

// add takes an amount in.
func (r *rate) add(amount float64, now time.Time) {
	r.mean = r.at(now) + amount/rateConstant.Seconds()
	r.when = now
}

// at returns the mean at a time.
func (r *rate) at(now time.Time) float64 {
	if r.when.IsZero() {
		return 0
	}
	return r.mean * math.Exp(-now.Sub(r.when).Seconds()/rateConstant.Seconds())
}
