package rig

import (
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// View is a view of the targets that tests can replace.
type View struct {
	current atomic.Pointer[fleet.Snapshot]
}

var _ fleet.View = (*View)(nil)

// Snapshot returns the current snapshot.
func (v *View) Snapshot() *fleet.Snapshot { return v.current.Load() }

// Set replaces the targets, which must be sorted by name.
func (v *View) Set(targets ...fleet.TargetState) { v.current.Store(fleet.NewSnapshot(targets)) }

// Drain marks targets as draining: they accept no new requests.
func (v *View) Drain(targets ...ident.Target) {
	states := append([]fleet.TargetState(nil), v.Snapshot().Targets...)
	for i := range states {
		for _, target := range targets {
			states[i].Draining = states[i].Draining || states[i].Record.Target == target
		}
	}
	v.current.Store(fleet.NewSnapshot(states))
}

// Leave marks a target as draining and leaving at the given time.
func (v *View) Leave(target ident.Target, leaveBy time.Time) {
	states := append([]fleet.TargetState(nil), v.Snapshot().Targets...)
	for i := range states {
		if states[i].Record.Target == target {
			states[i].Draining, states[i].Record.Leaving, states[i].Record.LeaveBy = true, true, leaveBy
		}
	}
	v.current.Store(fleet.NewSnapshot(states))
}
