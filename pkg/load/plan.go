package load

import (
	"iter"
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Limits of a run.
const (
	MaxRate     = 10_000
	MaxCalls    = 10_000_000
	MaxDuration = 24 * time.Hour
)

// Plan is the schedule of a run.
type Plan struct {
	// Rate is the mean number of calls per second.
	Rate float64
	// Duration and Calls limit the run, which ends at the first that is reached.
	Duration time.Duration
	Calls    int
	// Mix applies before ShiftAt, and ShiftedMix from then on. If ShiftAt is
	// zero, the mix never shifts.
	Mix, ShiftedMix Mix
	ShiftAt         time.Duration
	Seed            uint64
}

// Check validates the plan.
func (p *Plan) Check() error {
	switch {
	case p.Rate <= 0 || p.Rate > MaxRate:
		return fault.New(fault.Invalid, "the rate is out of bounds", "choose a -rate above 0 and up to 10000 calls/s")
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return fault.New(fault.Invalid, "the time is out of bounds", "choose a -time above 0 and up to 24h")
	case p.Calls <= 0 || p.Calls > MaxCalls:
		return fault.New(fault.Invalid, "the number of calls is out of bounds", "choose a -count from 1 to 10000000")
	case p.Mix.PromptWords < 1 || p.Mix.OutputTokens < 1 || p.ShiftedMix.PromptWords < 1 || p.ShiftedMix.OutputTokens < 1:
		return fault.New(fault.Invalid, "a mean length is out of bounds", "choose -prompt, -output, -shift-prompt and -shift-output of at least 1")
	}
	return nil
}

// All returns the calls in order of their start, as a Poisson process at the plan's
// rate. The same seed gives the same calls.
func (p *Plan) All() iter.Seq[Call] {
	return func(yield func(Call) bool) {
		random := rand.New(rand.NewPCG(p.Seed, 0))
		at := time.Duration(0)
		for n := range p.Calls {
			at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
			if at > p.Duration {
				return
			}
			shifted := p.ShiftAt > 0 && at >= p.ShiftAt
			mix := &p.Mix
			if shifted {
				mix = &p.ShiftedMix
			}
			call := mix.draw(random)
			call.Number, call.At, call.Shifted = n, at, shifted
			if !yield(call) {
				return
			}
		}
	}
}
