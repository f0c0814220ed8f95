package faultstore

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Faults is the set of injected failures. The zero value injects none.
type Faults struct {
	// Down fails every call before it takes effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer reports whether the response of a write that took effect is
	// lost.
	LoseAnswer func(key external.Key) bool
	// SilentWatches makes watches block until their context is done instead of
	// returning changes.
	SilentWatches bool
	// WatchDelay delays watches before they read the store, so that they miss
	// intermediate states.
	WatchDelay time.Duration
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// The rate limits that the platform documents for its store.
const (
	// StatedWrites is in writes per second.
	StatedWrites = 400
	// StatedReads is in reads per second, waiting watches included.
	StatedReads = 2000
)

// StatedRates returns faults that limit the calls to the platform's documented
// rates and inject nothing else.
func StatedRates() Faults {
	return Faults{WritesPerSecond: StatedWrites, ReadsPerSecond: StatedReads}
}
