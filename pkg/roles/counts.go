package roles

import (
	"math"

	"amaranthplank.example/amaranthplank/pkg/demand"
)

const (
	// prefillGain and decodeGain are what an engine with one role is expected
	// to do more than a mixed one.
	prefillGain = 1.1
	decodeGain  = 1.15
)

// Counts are the engines of a model that have one role; the others are mixed.
type Counts struct {
	Prefill int
	Decode  int
}

// Want returns the counts that fit a demand: engines with one role where the
// demand fills them whole, the rest mixed. At least the share mixed of the
// engines stays mixed. With more engines neither count falls.
func Want(d demand.Demand, engines int, mixed float64) Counts {
	spare := max(0, engines-int(math.Ceil(mixed*float64(engines))))
	want := Counts{Prefill: whole(d.Prefill / prefillGain), Decode: whole(d.Decode / decodeGain)}
	for want.Prefill+want.Decode > spare {
		if want.Prefill >= want.Decode {
			want.Prefill--
			continue
		}
		want.Decode--
	}
	return want
}

// whole returns the whole engines in an amount of work.
func whole(work float64) int { return int(math.Floor(max(0, work))) }
