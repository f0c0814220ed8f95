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
	// Wait bounds one call. A connection that went silent costs as much.
	Wait time.Duration
	Log  *slog.Logger
}

const (
	// DefaultPause is the pause of a process on the platform. With DefaultWait a
	// change is known within a second and a half though one call goes silent.
	DefaultPause = 400 * time.Millisecond
	// DefaultWait bounds one call of a process on the platform.
	DefaultWait = 700 * time.Millisecond
	// firstRetry and longestRetry bound the pauses after failed calls.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)
