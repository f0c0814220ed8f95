package mirror

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Listener takes in the changes of some keys. Its methods are called by the
// mirror's goroutine alone.
type Listener interface {
	// Follows reports whether the listener takes a key's changes.
	Follows(key external.Key) bool
	// Apply takes in changes, in order, after each call that the store
	// answered. Whole says that they are all the listener's keys, so that
	// others are gone.
	Apply(entries []external.Entry, whole bool, now time.Time)
	// Outage is told when the store can't be read and when it can again.
	Outage(began, ended time.Time)
}
