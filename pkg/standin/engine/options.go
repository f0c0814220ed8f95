package engine

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options configures an engine.
type Options struct {
	Target ident.Target
	Model  ident.Model
	// Version is the initial version of the model.
	Version string
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// PrefillRate is the prefill rate in load reports, in tokens per second. It
	// doesn't delay generations.
	PrefillRate float64
	// Slots is the number of requests that run concurrently.
	Slots int
	// DefaultTokens is the length of the output, in tokens, if the request sets
	// no max_tokens.
	DefaultTokens int
	// Echo builds the output from the prompt's last word, so that a test can
	// detect a response that was delivered to the wrong request.
	Echo bool
	// ChecksFencing makes the engine reject orders with a fencing token lower
	// than the highest one seen.
	ChecksFencing bool
	// Peers is the client that fetches KV caches from other engines; nil means
	// http.DefaultClient.
	Peers *http.Client
	// ChangeTime is how long the engine is unavailable during a change of role
	// or version, or a restart.
	ChangeTime time.Duration
}
