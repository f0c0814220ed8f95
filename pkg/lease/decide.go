package lease

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/external"
)

// Action is a candidate's next step for a duty.
type Action string

// The actions.
const (
	// ActionIgnore skips the duty without reading it, because the process is not
	// ready or not among the first MaxCandidates ranks.
	ActionIgnore Action = "ignore"
	// ActionWait reads the duty again at the next poll.
	ActionWait Action = "wait"
	// ActionDefer reads the duty again after the remaining AcquireDelay.
	ActionDefer Action = "defer"
	// ActionAcquire tries to create the duty's key.
	ActionAcquire Action = "acquire"
	// ActionClear deletes the key of a duty that this process held under a
	// lease it no longer uses, so that no candidate waits for that lease to
	// expire. It also deletes another process's key that is bound to this process's
	// lease, which a late write can leave after the store came back from an older copy.
	ActionClear Action = "clear"
	// ActionAdopt holds a duty whose key is already bound to this process's
	// lease, because the response to the write that created it was lost.
	ActionAdopt Action = "adopt"
)

// Observation is the state of a duty and of a candidate for it, as the candidate
// observed them at one moment.
type Observation struct {
	// Ready is set once the process has a usable view of the fleet.
	Ready bool
	// Rank is the process's rank for the duty, or duty.NotRanked; rank 0 is the
	// first.
	Rank int
	// HeldDuties is how many duties the process holds.
	HeldDuties int
	// Present is set if the duty's key exists.
	Present bool
	// Holder is the key's writer and Lease the lease that the key is bound to.
	Holder Writer
	Lease  external.LeaseID
	// Self identifies this process. OwnLease is its unexpired lease, or NoLease.
	Self     Writer
	OwnLease external.LeaseID
	// FreeFor is how long the duty has been observed free. It is zero at the
	// first such observation.
	FreeFor time.Duration
	// EraWait is how long another process may still hold the duty by a lease that was
	// granted before the store came back from an older copy; see Timing.EraDelay.
	EraWait time.Duration
}

// Competes reports whether a process of the given rank reads the duty at all.
func (t Timing) Competes(ready bool, rank int) bool {
	return ready && rank != duty.NotRanked && rank < t.MaxCandidates
}

// Decide returns the action for what was observed of a duty.
func (t Timing) Decide(seen Observation) Action {
	if !t.Competes(seen.Ready, seen.Rank) {
		return ActionIgnore
	}
	if seen.Present {
		return decidePresent(&seen)
	}
	if seen.EraWait > 0 {
		return ActionWait
	}
	if seen.FreeFor < t.AcquireDelay(seen.Rank, seen.HeldDuties) {
		return ActionDefer
	}
	return ActionAcquire
}

// decidePresent returns the action for a duty whose key exists.
func decidePresent(seen *Observation) Action {
	ownLease := seen.OwnLease != external.NoLease && seen.Lease == seen.OwnLease
	ownKey := seen.Holder.SameProcess(seen.Self)
	switch {
	case ownLease && ownKey:
		return ActionAdopt
	case ownLease || ownKey:
		return ActionClear
	}
	return ActionWait
}
