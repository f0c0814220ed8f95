package config

import (
	"log/slog"
	"math/rand/v2"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Options are the dependencies and settings of a Manager. Mesh and View may be
// nil; Host and Store are required, and the rest have defaults.
type Options struct {
	Host  ident.Host
	Store external.Store
	// Mesh and View connect to the other daemons. Both are nil if there are
	// none.
	Mesh peer.Mesh
	View membership.View
	// Clock must keep running during system suspend.
	Clock      clock.Clock
	Log        *slog.Logger
	Registerer prometheus.Registerer
	Random     *rand.Rand
	Timing     Timing
}

// setDefaults sets the options that were left out.
func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
}
