package faultstore

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Faults says what fails at present. The zero value lets everything through.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer says of a write that took effect whether its answer is lost.
	LoseAnswer func(key external.Key) bool
	// SilentWatches makes watches wait for ever instead of returning changes.
	SilentWatches bool
	// WatchDelay holds watches back before they look, so that they skip the
	// states in between.
	WatchDelay time.Duration
	// WritesPerSecond and ReadsPerSecond bound the calls; zero means no bound.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// The rates that the platform states for its store.
const (
	// StatedWrites is in writes per second.
	StatedWrites = 400
	// StatedReads is in reads per second, waiting watches included.
	StatedReads = 2000
)

// StatedRates returns faults that bound the calls to the platform's rates.
func StatedRates() Faults {
	return Faults{WritesPerSecond: StatedWrites, ReadsPerSecond: StatedReads}
}
