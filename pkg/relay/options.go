package relay

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Options are what a Relay works with.
type Options struct {
	Router routing.Router
	Client *target.Client
	Config config.Source
	// Moves has streams leave engines that are taken away. Nil leaves them.
	Moves Moves
	// Credential is the system's own towards targets. It may be empty.
	Credential string
	Log        *slog.Logger
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
}
