package entry

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Format translates between the wire format of one kind of caller and this
// package. It parses requests and writes the system's own responses, and makes no
// routing or admission decisions.
type Format interface {
	// Begin returns the ID of a new request and sets the headers that every
	// response has.
	Begin(w http.ResponseWriter, r *http.Request) (ident.Request, error)
	// Key returns the workspace key of the request, or an empty string.
	Key(header http.Header) string
	// Describe parses a request's header and body. Its errors have kind Invalid.
	Describe(r *http.Request, body request.Body) (Description, error)
	// Fail writes the error response of a request that no target answered.
	Fail(w http.ResponseWriter, failure Failure)
	// Answered marks the response as complete after its last part was written.
	Answered(w http.ResponseWriter)
}

// Description holds the properties of a request that its format determines.
type Description struct {
	// Model or Service is the requested model or service; both are empty if
	// the route alone determines it.
	Model   ident.Model
	Service ident.Service
	// Path is the path and query that are sent to the target.
	Path string
	// Stream reports whether the caller requested a stream of events.
	Stream          bool
	PromptTokens    int
	MaxOutputTokens int
	// Prefix, PartEnds and PartIDs hold prompt hashes; see request.Request.
	Prefix, PartEnds, PartIDs []uint64
	IdempotencyKey            string
	// Timeout is how long the caller waits for the response; zero if unknown.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has received,
	// or zero.
	LastEventID uint64
	// BegunBy is the request that brought the first event of the stream that is taken up
	// again, or empty.
	BegunBy ident.Request
}

// partBytes returns the memory that the hashes of the prompt's parts take.
func (d *Description) partBytes() int64 {
	const hashBytes = 8
	return hashBytes * int64(cap(d.PartEnds)+cap(d.PartIDs))
}

// Failure describes to the caller why a request was not answered.
type Failure struct {
	ID      ident.Request
	Outcome request.Outcome
	Err     error
	// RetryAfter is how long to wait before a retry; zero means that a retry can't
	// succeed.
	RetryAfter time.Duration
}
