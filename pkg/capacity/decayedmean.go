package capacity

import (
	"math"
	"time"
)

// decayedMean is a mean whose samples are forgotten with a time constant.
type decayedMean struct {
	weight, sum float64
	at          time.Time
}

// add adds a value that stands for n samples. maxWeight bounds the weight of all samples
// together.
func (d *decayedMean) add(value, n, maxWeight float64, memory time.Duration, now time.Time) {
	d.decay(memory, now)
	d.weight += n
	d.sum += n * value
	if d.weight > maxWeight {
		d.sum *= maxWeight / d.weight
		d.weight = maxWeight
	}
}

// decay forgets samples up to now.
func (d *decayedMean) decay(memory time.Duration, now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
		d.weight *= factor
		d.sum *= factor
		d.at = now
	}
}

// valueWith returns the mean of the samples and of a prior that weighs as much as
// priorWeight samples.
func (d *decayedMean) valueWith(prior, priorWeight float64, memory time.Duration, now time.Time) float64 {
	d.decay(memory, now)
	return (priorWeight*prior + d.sum) / (priorWeight + d.weight)
}
