package relay

import (
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
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
	// Protocol is the targets'; nil means Engines without a credential.
	Protocol Protocol
	// Mark marks an answer as whole before its header goes to the caller. It
	// may be nil.
	Mark func(w http.ResponseWriter)
	// Began is told of each request at the first sign that a target runs it. It
	// may be nil.
	Began func(workspace ident.Workspace)
	// Budget returns whose budget pays for the retries of a request, and its
	// share and burst. Nil takes the route's, by the knobs.
	Budget func(req *request.Request) (key string, ratio, burst float64)
	// Log may be nil.
	Log *slog.Logger
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
}
