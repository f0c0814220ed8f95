package rolekeeper

import (
	"math"
	"time"
)

// Work is how a model's work divides into prompts and answers.
type Work struct {
	// DecodeLoad is the number of requests at the engines that generate answers,
	// waiting ones included, in full batches.
	DecodeLoad float64
	// PrefillPart is the share, from 0 to 1, of the engines' time that prompts
	// take which are computed apart.
	PrefillPart float64
}

const (
	// decodeUtilization is the share of the slots for answers that a peak may take.
	// The rest allows for batches that fill unevenly.
	decodeUtilization = 0.8
	// loadSmoothing is the time constant with which the load is averaged, so that a
	// few requests more or less at one moment are no peak.
	loadSmoothing = time.Second
	// loadMemory is the time constant with which a peak of the load is forgotten.
	// It is longer than the time in which a role change pays off.
	loadMemory = 30 * time.Second
	// fallStep and riseStep are the least changes of a share that are worth role
	// changes, though one engine is enough for a fall. Answers that wait are urgent;
	// engines are returned to prompts rarely.
	fallStep = 0.05
	riseStep = 0.15
)

// PrefillShare returns the share of a model's engines that are to have the prefill
// role. It is the largest one, unless that leaves too few engines for the answers:
// then it is what decodeUtilization leaves, but not less than the part of the work
// that the prompts are.
func PrefillShare(work Work, engines int, largest float64) float64 {
	if engines < 1 {
		return largest
	}
	left := 1 - work.DecodeLoad/decodeUtilization/float64(engines)
	return min(largest, max(left, work.PrefillPart))
}

// shareTracker follows the share of one model.
type shareTracker struct {
	share float64
	// load is the averaged DecodeLoad and peak its highest recent value; both were
	// updated at updatedAt.
	load, peak float64
	updatedAt  time.Time
}

// update takes the work into account. The share falls immediately with a rising load
// and rises again only once the peak is forgotten, so that a load that swings within
// seconds changes no roles.
func (t *shareTracker) update(work Work, engines int, largest float64, now time.Time) {
	since := now.Sub(t.updatedAt).Seconds()
	t.load += (work.DecodeLoad - t.load) * (1 - math.Exp(-since/loadSmoothing.Seconds()))
	t.peak = max(t.load, t.peak*math.Exp(-since/loadMemory.Seconds()))
	t.updatedAt = now
	work.DecodeLoad = t.peak
	share := PrefillShare(work, engines, largest)
	fall := DesiredPrefill(engines, t.share) - DesiredPrefill(engines, share)
	if float64(fall) >= max(1, fallStep*float64(engines)) || share-t.share >= riseStep || t.share > largest {
		t.share = share
	}
}
