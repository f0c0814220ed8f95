package request

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// PrefixBlockTokens is how many prompt tokens one hash in Prefix covers beyond
// the hash before it.
const PrefixBlockTokens = 512

// MaxParts is the most parts of one prompt that are identified: as many as the largest head of a
// request can state.
const MaxParts = 8192

// Request is one caller's request after authentication. It is not changed once
// admitted.
type Request struct {
	ID        ident.Request
	Workspace ident.Workspace
	Route     ident.Route
	Class     ident.Class
	// Model is set for model requests, Service for plain services.
	Model   ident.Model
	Service ident.Service
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// IdempotencyKey is the caller's own key for the request, or empty.
	IdempotencyKey string
	// Deadline is when the answer becomes useless to the caller.
	Deadline time.Time
	// LaterDeadline returns the deadline that the configuration now in force gives the
	// request. It is called when Deadline passes within the answer, and may be called
	// concurrently. Nil means that Deadline holds.
	LaterDeadline func() time.Time
	// Stream reports whether the caller accepts the answer as server-sent events.
	Stream bool
	// PromptTokens is estimated from the body.
	PromptTokens int
	// MaxOutputTokens is the caller's limit, or zero if it set none.
	MaxOutputTokens int
	// Prefix holds one hash for each full block of PrefixBlockTokens at the
	// start of the prompt. Each hash covers the prompt up to the end of its
	// block.
	Prefix []uint64
	// PartEnds are the hashes in Prefix at which a part of the prompt ends,
	// after which other prompts may continue differently. Nil means that any
	// hash in Prefix may be one.
	PartEnds []uint64
	// PartIDs holds one hash for each part of the prompt, of the part alone, at most MaxParts.
	// The last part belongs to the request or its session; other prompts may hold the others.
	PartIDs []uint64
	Method  string
	// Host is the Host header of the caller's request.
	Host string
	// Resumable reports whether another target may continue the stream: the
	// request then runs again, starting after its last event. LastEventID is the
	// ID of the last event that the caller had received before it sent the
	// request, or zero.
	Resumable   bool
	LastEventID uint64
	// BegunBy is the request that brought the first event of the stream, which this one
	// takes up again, or empty.
	BegunBy ident.Request
	// MaxAttempts limits the targets that the request is sent to; zero means the
	// limit of the knobs.
	MaxAttempts int64
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
	// FirstPart is the desired maximum time to the first part of the response, and
	// TokenGap the desired maximum time between two events. Zero sets no maximum.
	FirstPart time.Duration
	TokenGap  time.Duration
	// Path is the path at the target, with its query.
	Path   string
	Header http.Header
	Body   Body
	// fingerprint is computed by the first call of Fingerprint.
	fingerprint Fingerprint
}

// Pool returns the targets among which the request may be placed.
func (r *Request) Pool() ident.Pool { return ident.Pool{Model: r.Model, Service: r.Service} }

// BoundaryHashes returns the hashes that identify prompts with a common prefix:
// those at which parts of the prompt end, or all of Prefix if the parts are not
// known.
func (r *Request) BoundaryHashes() []uint64 {
	if r.PartEnds != nil {
		return r.PartEnds
	}
	return r.Prefix
}
