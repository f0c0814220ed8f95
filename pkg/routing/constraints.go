package routing

import (
	"slices"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Constraints rule targets out for an attempt of a request. Nil rules out none.
type Constraints struct {
	// Exclude are targets at which earlier attempts failed.
	Exclude []ident.Target
	// Version is the software version that the target must have, since a part of the
	// request was processed by it and versions can't read what others wrote. Nil allows
	// any.
	Version *ident.SoftwareVersion
	// Avoid are software versions that a stream may not begin at yet.
	Avoid []ident.SoftwareVersion
	// UnknownVersion are targets whose software version is not known, since their process may
	// be another one than that which wrote the entry.
	UnknownVersion []ident.Target
	// SpareRoom is set for a request that is already late for its objective. It is placed
	// only where it makes no other late that is still in time.
	SpareRoom bool
}

// spareRoom reports whether the request may take only spare room.
func (c *Constraints) spareRoom() bool { return c != nil && c.SpareRoom }

// Excluding returns constraints that rule out the given targets.
func Excluding(targets ...ident.Target) *Constraints { return &Constraints{Exclude: targets} }

// allow reports whether an attempt may be made at a target.
func (c *Constraints) allow(state *fleet.TargetState) bool {
	if c == nil {
		return true
	}
	if c.Version != nil && *c.Version != state.Record.SoftwareVersion {
		return false
	}
	target := state.Record.Target
	return !slices.Contains(c.Exclude, target) && !slices.Contains(c.UnknownVersion, target) && !slices.Contains(c.Avoid, state.Record.SoftwareVersion)
}
