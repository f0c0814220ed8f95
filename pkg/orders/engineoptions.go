package orders

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// EngineOptions are the dependencies and settings of an EngineManager.
type EngineOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// NewPlanner returns a planner that is used while a duty is held. The
	// planner is called by one goroutine at a time and receives only the
	// engines of the model.
	NewPlanner  func(model ident.Model) EnginePlanner
	View        fleet.View
	Client      EngineClient
	Store       external.Store
	Holds       HoldAcceptance
	Termination TerminationDetector
	Weights     external.WeightStore
	// Clock keeps running while the host is suspended.
	Clock clock.Clock
	// NewID returns a unique order ID.
	NewID  func() string
	Timing Timing
	Log    *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}
