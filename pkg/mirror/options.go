package mirror

import (
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Options configure a Mirror.
type Options struct {
	Store external.Store
	// Prefix is the prefix of the keys to follow.
	Prefix external.Key
	// Pause is the pause between two calls. Changes within it arrive together.
	Pause time.Duration
	// CallTimeout is how long a watch, or the first attempt to read all keys, may go
	// without a byte. A connection that hangs delays changes by as much. One that moves
	// bytes is bounded by their number instead.
	CallTimeout time.Duration
	Log         *slog.Logger
}

const (
	// DefaultCallTimeout is the CallTimeout of the processes on the platform.
	DefaultCallTimeout = 700 * time.Millisecond
	// maxTransferTime bounds a call that moves bytes all the while.
	maxTransferTime = 30 * time.Second
	// maxLoadSilence bounds the silence limit of further attempts to read all keys.
	maxLoadSilence = 10 * time.Second
	// loadSilenceGrowth is the factor by which the silence limit of each further attempt
	// is longer.
	loadSilenceGrowth = 2
	// minHistoryBytes is what a watch may move even if all keys are smaller: 0.2 s on a
	// link of 10 Mbit/s.
	minHistoryBytes = 256 << 10
	// lostLogInterval is the interval between log lines about an outage that lasts.
	lostLogInterval = 5 * time.Second
	// retryAllowance is the time for the pause and the call that follow a call that
	// hangs.
	retryAllowance = 400 * time.Millisecond
	// readAllowance is the time of two calls that answer without delay, and of the
	// changes' processing.
	readAllowance = 200 * time.Millisecond
	// minPause and maxPause bound the pause between two calls.
	minPause = 100 * time.Millisecond
	maxPause = 1200 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pauses after failed calls.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// receiptShare is the share of the time to act on a change that may pass until the
// change is received, even if one call hangs. The rest is left for operations in
// progress.
const receiptShare = 0.75

// PauseFor returns the longest pause, for use with DefaultCallTimeout, with which
// changes are received early enough to be acted on within the given time.
func PauseFor(within time.Duration) time.Duration {
	receiptTime := time.Duration(receiptShare * float64(within))
	return min(maxPause, max(minPause, receiptTime-DefaultCallTimeout-retryAllowance))
}

// ReadDelay returns the longest usual time from a change to its receipt with the pause of
// PauseFor: the pause, and two calls that answer without delay.
func ReadDelay(within time.Duration) time.Duration { return PauseFor(within) + readAllowance }
