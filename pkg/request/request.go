package request

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// PrefixBlockTokens is how many prompt tokens one hash in Prefix stands for.
const PrefixBlockTokens = 512

// Request is one caller's request after its key was checked. It is not changed
// once admitted.
type Request struct {
	ID        ident.Request
	Workspace ident.Workspace
	Route     ident.Route
	Class     ident.Class
	// Model is set for model requests, Service for plain services.
	Model   ident.Model
	Service ident.Service
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// IdempotencyKey is the caller's own key for the request, or empty.
	IdempotencyKey string
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Stream says that the caller takes the answer as server-sent events.
	Stream bool
	// PromptTokens is estimated from the body.
	PromptTokens int
	// MaxOutputTokens is the caller's bound, or the route's default.
	MaxOutputTokens int
	// Prefix holds the hashes of the prompt's successive whole blocks of
	// PrefixBlockTokens. Each hash covers all blocks up to its own.
	Prefix []uint64
	// Ends are those of Prefix at which parts of the prompt end, so that other
	// prompts may go on differently. Nil means that any of Prefix may be one.
	Ends   []uint64
	Method string
	// Host is the host that the caller named.
	Host string
	// Resumable says that another target may go on with the stream, which is
	// then run again after its last event. After is the last event that the
	// caller had when it sent the request.
	Resumable bool
	After     uint64
	// MaxAttempts bounds the targets that the request is sent to; zero takes
	// the knobs'.
	MaxAttempts int64
	// Urgency ranks requests; 0 is the most urgent.
	Urgency int
	// FirstPart is the time to the first part of the answer that counts as
	// timely, Gap the longest such pause between events. Zero leaves it open.
	FirstPart time.Duration
	Gap       time.Duration
	// Path is the path at the target, with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// Marks returns the hashes by which prompts that begin alike are known: those
// where parts end, or all where the parts are not known.
func (r *Request) Marks() []uint64 {
	if r.Ends != nil {
		return r.Ends
	}
	return r.Prefix
}
