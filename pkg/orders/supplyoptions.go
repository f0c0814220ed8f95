package orders

import (
	"log/slog"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// SupplyOptions are what a SupplyManager runs with.
type SupplyOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// NewPlanner returns a planner for one hold of the duty.
	NewPlanner func() SupplyPlanner
	View       fleet.View
	Platform   platform.TargetOrderer
	Store      platform.Store
	// NewID returns an id that no other order has.
	NewID func() string
	Terms Terms
	Log   *slog.Logger
}
