package orders

import (
	"log/slog"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyOptions are what a SupplyManager runs with.
type SupplyOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// NewPlanner returns a planner for one hold of the duty.
	NewPlanner func() SupplyPlanner
	View       fleet.View
	Platform   external.TargetOrderer
	Store      external.Store
	// NewID returns an id that no other order has.
	NewID func() string
	Terms Terms
	Log   *slog.Logger
}
