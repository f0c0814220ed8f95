package registry

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Registration is the decoded store entry of a target.
type Registration struct {
	Record external.TargetRecord
	// Incarnation distinguishes the restarts of one target.
	Incarnation ident.Incarnation
	Role        fleet.Role
	Slots       int
	// Cold is set while the target is still slow after its start.
	Cold bool
}
