package fleet

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// LoadReport is what an engine or service replica reports about its load and
// state.
type LoadReport struct {
	Target ident.Target `json:"target"`
	// Incarnation increases each time the target's process starts.
	Incarnation ident.Incarnation `json:"incarnation"`
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	Role     Role   `json:"role"`
	// Running counts requests that hold a slot, Queued those that wait for one.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that can run concurrently.
	Slots int `json:"slots"`
	// PrefillTokens counts the prompt tokens that are still to be computed.
	PrefillTokens int `json:"prefillTokens"`
	// DeferrableRunning and DeferrableQueued count the requests in Running and
	// Queued that are deferrable.
	DeferrableRunning int `json:"deferrableRunning"`
	DeferrableQueued  int `json:"deferrableQueued"`
	// ComputedTokens counts the prompt tokens computed since the process
	// started, GeneratedTokens the output tokens.
	ComputedTokens  uint64 `json:"computedTokens"`
	GeneratedTokens uint64 `json:"generatedTokens"`
	// DeferrableComputed and DeferrableGenerated are the tokens of deferrable
	// requests among them.
	DeferrableComputed  uint64 `json:"deferrableComputed"`
	DeferrableGenerated uint64 `json:"deferrableGenerated"`
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is for
	// one request in a full batch.
	PrefillRate float64 `json:"prefillRate"`
	DecodeRate  float64 `json:"decodeRate"`
	// CachePieces is the number of blocks in the prefix cache, CacheLimit its
	// capacity.
	CachePieces int `json:"cachePieces"`
	CacheLimit  int `json:"cacheLimit"`
	// OrderID is the last order that the target accepted, and Fencing its
	// fencing token.
	OrderID string             `json:"orderId,omitempty"`
	Fencing ident.FencingToken `json:"fencing"`
	// Model and Version are the model that the engine has loaded.
	Model   ident.Model `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	// WorkPercent is how long work takes on the target's host now, in percent of the usual
	// time. It is zero if the target doesn't state it.
	WorkPercent float64 `json:"workPercent,omitempty"`
	// TakenAt is when the figures were taken, by the target's clock.
	TakenAt time.Time `json:"takenAt"`
}

// Full reports whether the target has no free slot. A target that reports no slots
// is never full.
func (l *LoadReport) Full() bool { return l.Slots > 0 && l.Running+l.Queued >= l.Slots }
