package config

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Part identifies one of the two parts of the control state.
type Part uint8

// Parts of the control state. The values are sent in messages between daemons.
const (
	// PartConfig is the configuration, written by operators.
	PartConfig Part = 1
	// PartHolds is the holds, written by the daemons.
	PartHolds Part = 2
)

// parts lists all parts.
var parts = []Part{PartConfig, PartHolds}

// key returns the part's key in the store.
func (p Part) key() external.Key {
	if p == PartHolds {
		return HoldsKey
	}
	return StoreKey
}

// String returns the part's name in logs and metrics.
func (p Part) String() string {
	if p == PartHolds {
		return "holds"
	}
	return "config"
}

// revisionIn returns the part's revision in revisions.
func (p Part) revisionIn(revisions Revisions) ident.Revision {
	if p == PartHolds {
		return revisions.Holds
	}
	return revisions.Config
}

// asRevisions returns Revisions with only this part's revision set.
func (p Part) asRevisions(revision ident.Revision) Revisions {
	if p == PartHolds {
		return Revisions{Holds: revision}
	}
	return Revisions{Config: revision}
}

// partForKey returns the part stored under a key, or false.
func partForKey(key external.Key) (Part, bool) {
	for _, part := range parts {
		if part.key() == key {
			return part, true
		}
	}
	return 0, false
}
