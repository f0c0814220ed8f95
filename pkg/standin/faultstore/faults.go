package faultstore

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Faults says what fails at present. The zero value lets everything through.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswer says of a write that took effect whether its answer is lost.
	LoseAnswer func(key platform.Key) bool
	// SilentWatches makes watches wait for ever instead of returning changes.
	SilentWatches bool
	// WritesPerSecond and ReadsPerSecond bound the calls; zero means no bound.
	WritesPerSecond float64
	ReadsPerSecond  float64
}
