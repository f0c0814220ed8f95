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
// tests, unless documented otherwise.
type Options struct {
	// Engines and Ledgers are the numbers of simulated targets of each kind.
	Engines, Ledgers int
	// TokenInterval is the time between two output tokens of an engine.
	TokenInterval time.Duration
	// LateDelay is the delay of requests with the fault faulttarget.Late.
	LateDelay time.Duration
	// SilenceTimeout and Timeout are the settings silenceTimeout and timeout.
	SilenceTimeout, Timeout time.Duration
	// HedgeAfter is the setting hedgeAfter; zero disables hedging.
	HedgeAfter time.Duration
	Admission  admission.Controller
	// Store holds the claims of idempotency keys; nil disables claims.
	Store external.Store
	// AllIdempotent declares every route idempotent. Tests use it to show that
	// their checks detect requests that are then executed twice.
	AllIdempotent bool
	// NewRouter builds the router; nil means routing.LeastOutstanding.
	NewRouter func(*Rig) routing.Router
	// NewStreamMover builds the mover of streams between engines; nil disables
	// moves.
	NewStreamMover func(*Rig) relay.StreamMover
	Log            *slog.Logger
}

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.TokenInterval == 0 {
		o.TokenInterval = time.Millisecond
	}
	if o.LateDelay == 0 {
		o.LateDelay = time.Second
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 100 * time.Millisecond
	}
	if o.Timeout == 0 {
		o.Timeout = 10 * time.Second
	}
	if o.Admission == nil {
		o.Admission = admission.UnlimitedController{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
