package config

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Part names one of the two parts of the control state.
type Part uint8

// The parts. The numbers stand in messages between daemons.
const (
	// PartConfig is the operators' configuration.
	PartConfig Part = 1
	// PartHolds is what the daemons write.
	PartHolds Part = 2
)

// parts lists the parts.
var parts = []Part{PartConfig, PartHolds}

// key returns where the part stands in the store.
func (p Part) key() external.Key {
	if p == PartHolds {
		return HoldsKey
	}
	return StoreKey
}

// String names the part in logs and metrics.
func (p Part) String() string {
	if p == PartHolds {
		return "holds"
	}
	return "config"
}

// of returns the part's revision.
func (p Part) of(revisions Revisions) ident.Revision {
	if p == PartHolds {
		return revisions.Holds
	}
	return revisions.Config
}

// revisions returns the revisions that hold the part's alone.
func (p Part) revisions(revision ident.Revision) Revisions {
	if p == PartHolds {
		return Revisions{Holds: revision}
	}
	return Revisions{Config: revision}
}

// partOf returns the part that stands under a key, or false.
func partOf(key external.Key) (Part, bool) {
	for _, part := range parts {
		if part.key() == key {
			return part, true
		}
	}
	return 0, false
}
