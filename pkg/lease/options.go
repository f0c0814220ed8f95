package lease

import (
	"log/slog"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Options are what a Manager runs with.
type Options struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Store         external.Store
	// Clock runs through suspension: clock.Boot in production.
	Clock clock.Clock
	// Members gives the other candidates.
	Members membership.View
	// Ready says that the process has a view to act on. A process that is
	// not ready takes no duty. Nil means always ready.
	Ready func() bool
	Terms Terms
	Log   *slog.Logger
	// Random gives the jitter. The manager guards it by a lock.
	Random *rand.Rand
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
}
