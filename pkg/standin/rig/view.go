package rig

import (
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// View is a view of the targets that tests replace.
type View struct {
	current atomic.Pointer[fleet.Snapshot]
}

var _ fleet.View = (*View)(nil)

// Snapshot returns the view in force.
func (v *View) Snapshot() *fleet.Snapshot { return v.current.Load() }

// Set replaces the targets, which must be ordered by name.
func (v *View) Set(targets ...fleet.TargetState) { v.current.Store(fleet.NewSnapshot(targets)) }

// Drain marks targets as taking nothing new.
func (v *View) Drain(targets ...ident.Target) {
	states := append([]fleet.TargetState(nil), v.Snapshot().Targets...)
	for i := range states {
		for _, target := range targets {
			states[i].Draining = states[i].Draining || states[i].Record.Target == target
		}
	}
	v.current.Store(fleet.NewSnapshot(states))
}
