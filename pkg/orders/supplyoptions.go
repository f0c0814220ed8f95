package orders

import (
	"log/slog"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyOptions are the dependencies and settings of a SupplyManager.
type SupplyOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// NewPlanner returns a planner that is used while the duty is held.
	NewPlanner func() SupplyPlanner
	View       fleet.View
	Platform   external.TargetOrderer
	Store      external.Store
	// NewID returns a unique order ID.
	NewID  func() string
	Timing Timing
	Log    *slog.Logger
}
