package lease

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// Action is what a candidate does about a duty.
type Action string

// The actions.
const (
	// ActionIgnore leaves the duty to better ranks, without a look.
	ActionIgnore Action = "ignore"
	// ActionWait looks again at the next poll.
	ActionWait Action = "wait"
	// ActionDefer looks again after the rank's wait.
	ActionDefer Action = "defer"
	// ActionAcquire takes the duty.
	ActionAcquire Action = "acquire"
	// ActionClear frees a duty that this process held under a lease which it
	// has given up, so that nobody waits for that lease to lapse.
	ActionClear Action = "clear"
	// ActionAdopt takes a duty up that the store already gives to this
	// process, since the answer of its write was lost.
	ActionAdopt Action = "adopt"
)

// Look is what a candidate knows of a duty at one moment.
type Look struct {
	// Ready is set once the process has a view to act on.
	Ready bool
	// Rank is the process's rank, or duty.NotRanked.
	Rank int
	// Held counts the duties that the process holds.
	Held int
	// Present is set where the duty's key exists.
	Present bool
	// Holder is the key's writer and Lease what it is bound to.
	Holder Writer
	Lease  external.LeaseID
	// Self is this process and OwnLease its live lease, or NoLease.
	Self     Writer
	OwnLease external.LeaseID
	// Free is how long the duty has been seen free, zero at the first look.
	Free time.Duration
}

// Competes reports whether a candidate looks at the duty at all.
func (t Terms) Competes(ready bool, rank int) bool {
	return ready && rank != duty.NotRanked && rank < t.Candidates
}

// Decide returns what to do about a duty.
func (t Terms) Decide(look Look) Action {
	if !t.Competes(look.Ready, look.Rank) {
		return ActionIgnore
	}
	if look.Present {
		if look.OwnLease != external.NoLease && look.Lease == look.OwnLease && look.Holder.SameProcess(look.Self) {
			return ActionAdopt
		}
		if look.Holder.SameProcess(look.Self) && look.Lease != look.OwnLease {
			return ActionClear
		}
		return ActionWait
	}
	if look.Free < t.WaitOf(look.Rank, look.Held) {
		return ActionDefer
	}
	return ActionAcquire
}
