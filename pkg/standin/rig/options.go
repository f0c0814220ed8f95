package rig

import (
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// Options shape a rig. What is left out gets a small default.
type Options struct {
	// Engines and Ledgers are how many stand-ins there are of each.
	Engines, Ledgers int
	// TokenInterval is the engines' pace.
	TokenInterval time.Duration
	// Late is how late a late answer is.
	Late time.Duration
	// Silence and Timeout are the knobs of the same names.
	Silence, Timeout time.Duration
	// Hedge is the knob hedgeAfter; zero means never.
	Hedge     time.Duration
	Admission admission.Controller
	// Store holds the claims of idempotency keys; nil goes without.
	Store external.Store
	// Misdeclared declares every route idempotent, so that the checks can be
	// seen to find what then runs twice.
	Misdeclared bool
	// Router takes the place of the baseline.
	Router func(*Rig) routing.Router
	// Moves has streams leave engines; nil leaves them.
	Moves func(*Rig) relay.StreamMover
	Log   *slog.Logger
}

// withDefaults fills what was left out.
func (o Options) withDefaults() Options {
	if o.TokenInterval == 0 {
		o.TokenInterval = time.Millisecond
	}
	if o.Late == 0 {
		o.Late = time.Second
	}
	if o.Silence == 0 {
		o.Silence = 100 * time.Millisecond
	}
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	if o.Admission == nil {
		o.Admission = admission.Unlimited{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
