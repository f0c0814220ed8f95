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
	Method string
	// Path is the path at the target, with its query.
	Path   string
	Header http.Header
	Body   []byte
}
