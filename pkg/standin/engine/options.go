package engine

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options shape the stand-in.
type Options struct {
	Target ident.Target
	Model  ident.Model
	// Version is the model's version that the engine starts with.
	Version string
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// PrefillRate is the stated pace of prompts, in tokens per second.
	PrefillRate float64
	// Slots is how many requests run at once.
	Slots int
	// DefaultTokens is the answer's length where the request sets none.
	DefaultTokens int
	// Echo makes answers repeat the prompt's last word, so that crossed
	// answers can be told.
	Echo bool
	// ChecksFencing makes orders with an old fencing number refused.
	ChecksFencing bool
	// Peers reaches other engines for their KV caches; nil means the default
	// client.
	Peers *http.Client
	// ChangeTime is how long a change of role or version, or a restart, keeps
	// the engine from answering.
	ChangeTime time.Duration
}
