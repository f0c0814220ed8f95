package registry

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Announcement is what a target's entry says of it.
type Announcement struct {
	Record external.TargetRecord
	// Incarnation tells the lives of one target apart.
	Incarnation ident.Incarnation
	Role        fleet.Role
	Slots       int
	// Cold says that the target is slow for a while after its start.
	Cold bool
}
