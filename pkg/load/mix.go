package load

import (
	"math/rand/v2"
	"time"
)

// Mix describes the distribution of requests.
type Mix struct {
	// PromptWords and OutputTokens are the mean lengths. Lengths vary uniformly
	// by up to half the mean in either direction.
	PromptWords, OutputTokens int
	// Stream is the share of completions that are streamed, and Service the
	// share of calls that go to the plain service.
	Stream, Service float64
}

// Call is one request of the schedule.
type Call struct {
	// Number is the call's index, from zero.
	Number int
	// At is the scheduled start, relative to the start of the run.
	At time.Duration
	// Shifted reports whether the call belongs to Plan.ShiftedMix.
	Shifted      bool
	Service      bool
	Stream       bool
	PromptWords  int
	OutputTokens int
}

// draw returns a random call of the mix.
func (m *Mix) draw(random *rand.Rand) Call {
	return Call{
		Service:      random.Float64() < m.Service,
		Stream:       random.Float64() < m.Stream,
		PromptWords:  vary(random, m.PromptWords),
		OutputTokens: vary(random, m.OutputTokens),
	}
}

// vary returns a random length from 0.5 to 1.5 times the mean, at least one.
func vary(random *rand.Rand, mean int) int {
	return max(1, mean/2+random.IntN(mean+1))
}
