package orders

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// EngineOptions are what an EngineManager runs with.
type EngineOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Planner     EnginePlanner
	View        fleet.View
	Client      EngineClient
	Store       platform.Store
	Holds       HoldAcceptance
	Fates       ProcessFate
	Weights     platform.WeightStore
	// Clock runs through suspension.
	Clock clock.Clock
	// NewID returns an id that no other order has.
	NewID func() string
	Terms Terms
	Log   *slog.Logger
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
}
