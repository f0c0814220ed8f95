package orders

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// EngineOptions are what an EngineManager runs with.
type EngineOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// NewPlanner returns a planner for one hold of a duty. It is called by one
	// goroutine at a time and sees the engines of the model alone.
	NewPlanner func(model ident.Model) EnginePlanner
	View       fleet.View
	Client     EngineClient
	Store      external.Store
	Holds      HoldAcceptance
	Fates      ProcessFate
	Weights    external.WeightStore
	// Clock runs through suspension.
	Clock clock.Clock
	// NewID returns an id that no other order has.
	NewID func() string
	Terms Terms
	Log   *slog.Logger
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
}
