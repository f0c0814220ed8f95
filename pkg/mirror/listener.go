package mirror

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Listener receives the changes of some keys. Its methods are called only by the
// mirror's goroutine.
type Listener interface {
	// Follows reports whether the listener receives the changes of a key.
	Follows(key external.Key) bool
	// Apply receives the changes in order, after each successful call to
	// the store, also if there are none. If whole is set the entries are all of the
	// listener's keys, and any others no longer exist.
	Apply(entries []external.Entry, whole bool, now time.Time)
	// Outage is called when the store can't be read, with a zero ended, and when
	// it can be read again. It is also called, with the same time for both, when the
	// store has come back from an older copy, before all keys are applied anew.
	Outage(began, ended time.Time)
}
