package capacity

import (
	"math"
	"time"
)

const (
	// occupancyBuckets is the number of equal ranges of slots in use for which times are
	// kept apart.
	occupancyBuckets = 4
	// waitedBucket is the bucket of work that may have waited for a slot. Its time doesn't
	// show the target's speed; for the limit it counts as that of a full target.
	waitedBucket = occupancyBuckets
)

// occupancy estimates how much longer work takes the more slots of a target are in use,
// and where more of them lower its throughput.
type occupancy struct {
	buckets [occupancyBuckets]decayedMean
	// limitShare is the share of slots above which a rejection was seen, or zero; it
	// rises again from rejectedAt on.
	limitShare float64
	rejectedAt time.Time
}

const (
	// occupancyMemory is the time constant of the buckets. A bucket that gets no requests
	// because it was slow is forgotten, and then tried again.
	occupancyMemory = 10 * time.Second
	// bucketPrior is the number of samples that the bucket below weighs in a bucket, and
	// maxBucketWeight bounds the samples of a bucket.
	bucketPrior     = 4
	maxBucketWeight = 50
	// throughputTolerance is the share of the best throughput at which more requests are
	// still taken well.
	throughputTolerance = 0.9
	// rejectionFactor is the multiplicative decrease of the limit at a rejection, and
	// rejectionRecovery the additive increase a second, as a share of the slots.
	rejectionFactor   = 0.9
	rejectionRecovery = 0.1
)

// bucketOf returns the bucket of a number of requests in flight at a target. It is zero if
// the slots are not known.
func bucketOf(inFlight, slots float64) int {
	if slots <= 0 {
		return 0
	}
	if inFlight > slots {
		return waitedBucket
	}
	bucket := int(math.Ceil(inFlight/slots*occupancyBuckets)) - 1
	return min(occupancyBuckets-1, max(0, bucket))
}

// add takes the mean of n samples at a bucket into account.
func (o *occupancy) add(bucket int, value, n float64, now time.Time) {
	o.buckets[bucket].add(value, n, maxBucketWeight, occupancyMemory, now)
}

// reject takes into account that the target rejected a request with a number in flight.
func (o *occupancy) reject(inFlight, slots float64, now time.Time) {
	if slots <= 0 {
		return
	}
	o.limitShare = max(1/slots, rejectionFactor*min(1, inFlight/slots))
	o.rejectedAt = now
}

// share returns the share of the slots, from 0 to 1, that the target takes well. prior is
// the value assumed for the lowest bucket.
func (o *occupancy) share(prior float64, now time.Time) float64 {
	value, best, limit := prior, 0.0, 0
	for i := range o.buckets {
		value = o.buckets[i].valueWith(value, bucketPrior, occupancyMemory, now)
		throughput := float64(i+1) * math.Exp(-value)
		if throughput >= throughputTolerance*best {
			limit = i + 1
		}
		best = max(best, throughput)
	}
	share := float64(limit) / occupancyBuckets
	if o.limitShare > 0 {
		share = min(share, o.limitShare+rejectionRecovery*now.Sub(o.rejectedAt).Seconds())
	}
	return share
}
