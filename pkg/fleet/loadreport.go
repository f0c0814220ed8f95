package fleet

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// LoadReport is what an engine or service last said of itself.
type LoadReport struct {
	Target ident.Target `json:"target"`
	// Incarnation rises each time the target's process starts.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Sequence rises with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	Role     Role   `json:"role"`
	// Running counts requests that hold a slot, Queued those that wait.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// PrefillTokens counts the prompt tokens that are still to be computed.
	PrefillTokens int `json:"prefillTokens"`
	// DeferrableRunning and DeferrableQueued are the part of Running and
	// Queued whose class is deferrable.
	DeferrableRunning int `json:"deferrableRunning"`
	DeferrableQueued  int `json:"deferrableQueued"`
	// ComputedTokens counts the prompt tokens computed since the process
	// started, GeneratedTokens the output tokens.
	ComputedTokens  uint64 `json:"computedTokens"`
	GeneratedTokens uint64 `json:"generatedTokens"`
	// DeferrableComputed and DeferrableGenerated are the deferrable part.
	DeferrableComputed  uint64 `json:"deferrableComputed"`
	DeferrableGenerated uint64 `json:"deferrableGenerated"`
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is for
	// one request in a full batch.
	PrefillRate float64 `json:"prefillRate"`
	DecodeRate  float64 `json:"decodeRate"`
	// CachePieces is how many pieces the prefix memory holds of CacheLimit.
	CachePieces int `json:"cachePieces"`
	CacheLimit  int `json:"cacheLimit"`
	// OrderID is the last order that the target took, and Fencing its number.
	OrderID string        `json:"orderId,omitempty"`
	Fencing ident.Fencing `json:"fencing"`
	// Model and Version are what the engine has loaded.
	Model   ident.Model `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	// TakenAt is when the target took the figures, by its own clock.
	TakenAt time.Time `json:"takenAt"`
}
