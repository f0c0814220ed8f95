package rig

import (
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// Options configures a rig. Fields left at zero get defaults that suit short
// tests, except where a field says otherwise.
type Options struct {
	// Engines and Ledgers are the numbers of simulated targets of each kind.
	Engines, Ledgers int
	// TokenInterval is the time between two output tokens of an engine.
	TokenInterval time.Duration
	// Late is the delay of responses with the fault faulttarget.Late.
	Late time.Duration
	// Silence and Timeout are the settings silenceTimeout and timeout.
	Silence, Timeout time.Duration
	// Hedge is the setting hedgeAfter; zero disables hedging.
	Hedge     time.Duration
	Admission admission.Controller
	// Store holds the claims of idempotency keys; nil disables claims.
	Store external.Store
	// Misdeclared declares every route idempotent. Tests use it to show that
	// their checks detect requests that are then executed twice.
	Misdeclared bool
	// Router builds the router; nil means routing.LeastOutstanding.
	Router func(*Rig) routing.Router
	// Moves builds the mover of streams between engines; nil disables moves.
	Moves func(*Rig) relay.StreamMover
	Log   *slog.Logger
}

// withDefaults returns the options with defaults for unset fields.
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
