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

// Options configures a Manager.
type Options struct {
	Host          ident.Host
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Store         external.Store
	// Clock must keep running while the host is suspended: clock.Boot in
	// production.
	Clock clock.Clock
	// Members lists the other candidates.
	Members membership.View
	// Ready reports whether the process has a usable view of the fleet. A
	// process that is not ready acquires no duty. Nil means always ready.
	Ready func() bool
	// FirstStart is set if the whole system starts for the first time, so that no process has
	// held a duty before unless the store has its handover record.
	FirstStart bool
	Timing     Timing
	Log        *slog.Logger
	// Random is the source of jitter. The manager guards it with a mutex.
	Random *rand.Rand
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}
