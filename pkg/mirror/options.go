package mirror

import (
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Options are what a Mirror works with.
type Options struct {
	Store external.Store
	// Prefix is what is followed.
	Prefix external.Key
	// Pause is the time between two calls, which gathers changes.
	Pause time.Duration
	// Wait bounds one watch, and the first try to read everything. A connection
	// that went silent costs as much.
	Wait time.Duration
	Log  *slog.Logger
}

const (
	// DefaultWait bounds one call of a process on the platform.
	DefaultWait = 700 * time.Millisecond
	// longestLoad bounds each further try to read everything, which takes many
	// calls where there are many keys.
	longestLoad = 10 * time.Second
	// loadGrowth is how much more time each further try gets.
	loadGrowth = 2
	// retryAllowance is the time of the pause and the call after one that went
	// silent.
	retryAllowance = 400 * time.Millisecond
	// leastPause and longestPause bound the pause between two calls.
	leastPause   = 100 * time.Millisecond
	longestPause = 1200 * time.Millisecond
	// firstRetry and longestRetry bound the pauses after failed calls.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// knownShare is the part of the time to act by a change in which it is known
// though one call goes silent; the rest is left for what is on its way.
const knownShare = 0.75

// PauseFor returns the longest pause, with DefaultWait, by which changes are
// known in good time where they must be acted by within a given time.
func PauseFor(within time.Duration) time.Duration {
	known := time.Duration(knownShare * float64(within))
	return min(longestPause, max(leastPause, known-DefaultWait-retryAllowance))
}
