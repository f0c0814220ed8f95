package roles

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/demand"
)

const (
	// prefillSpeedup and decodeSpeedup are the expected throughput of an engine
	// with one role, relative to a mixed one.
	prefillSpeedup = 1.1
	decodeSpeedup  = 1.15
)

// Counts is how many engines of a model have each single role; the others are
// mixed.
type Counts struct {
	Prefill int
	Decode  int
}

// DesiredCounts returns the counts that fit a demand: as many engines of each
// single role as the demand fills completely. At least the share mixedShare of
// the engines stays mixed. Neither count decreases as engines increases.
func DesiredCounts(d demand.Demand, engines int, mixedShare float64) Counts {
	maxSingleRole := max(0, engines-int(math.Ceil(mixedShare*float64(engines))))
	desired := Counts{Prefill: wholeEngines(d.Prefill / prefillSpeedup), Decode: wholeEngines(d.Decode / decodeSpeedup)}
	for desired.Prefill+desired.Decode > maxSingleRole {
		if desired.Prefill >= desired.Decode {
			desired.Prefill--
			continue
		}
		desired.Decode--
	}
	return desired
}

// wholeEngines returns how many engines an amount of work fills completely.
func wholeEngines(work float64) int { return int(math.Floor(max(0, work))) }
