package entry

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Format is the shape that one kind of callers speaks. It reads what they send
// and words the system's own answers, and decides nothing.
type Format interface {
	// Begin returns the id of a request that was just received and sets the
	// headers that every answer bears.
	Begin(w http.ResponseWriter, r *http.Request) (ident.Request, error)
	// Key returns the key that came with the request, or an empty text.
	Key(header http.Header) string
	// Describe reads a request's header and body. It fails with kind Invalid.
	Describe(r *http.Request, body []byte) (Description, error)
	// Fail answers a request that the system did not have answered.
	Fail(w http.ResponseWriter, failure Failure)
	// Answered marks an answer that was handed over whole.
	Answered(w http.ResponseWriter)
}

// Description is what a request says of itself.
type Description struct {
	// Model or Service is what the request is for; both are empty where the
	// route alone decides.
	Model   ident.Model
	Service ident.Service
	// Path is the path at the target, with its query.
	Path string
	// Stream says that the caller takes the answer as events.
	Stream          bool
	PromptTokens    int
	MaxOutputTokens int
	// Prefix and Ends hold the prompt's hashes as request.Request does.
	Prefix, Ends   []uint64
	IdempotencyKey string
	// Wait is how long the caller waits, or zero where it does not say.
	Wait time.Duration
	// After is the last event that the caller has of a stream, or zero.
	After uint64
}

// Failure is what a caller is told of a request that was not answered.
type Failure struct {
	ID      ident.Request
	Outcome request.Outcome
	Err     error
	// Wait is when to come back; zero says that it is of no use.
	Wait time.Duration
}
