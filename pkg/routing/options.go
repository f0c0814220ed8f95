package routing

import (
	"math/rand/v2"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options are what a router needs.
type Options struct {
	View fleet.View
	// Domain is the daemon's own failure domain.
	Domain ident.FailureDomain
	// Knobs returns the values in force; it is asked at each decision.
	Knobs func() *config.RoutingKnobs
	Now   func() time.Time
	// Daemons returns how many daemons serve, this one included.
	Daemons func() int
	// Elsewhere returns what the daemons that tell it have outstanding at an
	// engine. Nil means that it is not known.
	Elsewhere func(target ident.Target) backlog.Outstanding
	// Told returns the part of the other daemons that tell where they place
	// prompts, from 0 to 1. Nil means that all do.
	Told func() float64
	// LeftOut is told when a failing target gets no new work for a while, after
	// so many failures in a row. It is called under the router's lock and may
	// be nil.
	LeftOut func(target ident.Target, failures int)
	// Random draws among near equals; the router locks it.
	Random *rand.Rand
	// Off switches parts off; it is for measures alone.
	Off Off
}

// leftOut tells that a target gets no new work for a while.
func (o *Options) leftOut(target ident.Target, failures int) {
	if o.LeftOut != nil {
		o.LeftOut(target, failures)
	}
}

// Off names the parts of a router that a measure leaves out.
type Off struct {
	// Affinity leaves out the home engines of a prompt.
	Affinity bool
	// Index leaves out the index of prefix memories.
	Index bool
	// OwnSends leaves the reports uncorrected.
	OwnSends bool
	// Unseen leaves out the sends of other daemons since the last report.
	Unseen bool
	// Random always takes the first of near equals.
	Random bool
	// Apart keeps prefill and decode on one engine.
	Apart bool
}
