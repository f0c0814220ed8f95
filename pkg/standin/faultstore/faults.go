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
	// LoseResponse reports whether the response of a write that took effect is
	// lost.
	LoseResponse func(key external.Key) bool
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
	// PlatformWritesPerSecond is the limit on writes.
	PlatformWritesPerSecond = 400
	// PlatformReadsPerSecond is the limit on reads, watch calls included.
	PlatformReadsPerSecond = 2000
)

// PlatformRates returns faults that limit the calls to the platform's documented
// rates and inject nothing else.
func PlatformRates() Faults {
	return Faults{WritesPerSecond: PlatformWritesPerSecond, ReadsPerSecond: PlatformReadsPerSecond}
}
