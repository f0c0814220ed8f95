package relay

import (
	"context"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/bytebudget"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Protocol builds requests for one kind of target and parses the responses. It
// makes no decisions.
type Protocol interface {
	// Request returns the HTTP request to send to the target.
	Request(ctx context.Context, targetReq *TargetRequest) (*http.Request, error)
	// Classify returns the kind of a response by its status and header.
	Classify(targetReq *TargetRequest, response *http.Response) ResponseKind
	// Load returns the load that a response's header reports, or false if it
	// reports none.
	Load(response *http.Response) (fleet.LoadReport, bool)
	// CopyHeaders copies those headers of a target's response that are returned
	// to the caller.
	CopyHeaders(to, from http.Header)
	// Events returns a reader of a stream. If the stream is cut off, no event is
	// marked as the last.
	Events(targetReq *TargetRequest, response *http.Response) EventReader
	// EndsWithConnection reports whether a response without a length is complete
	// when its connection is closed in order.
	EndsWithConnection() bool
	// Resumer returns the part of the protocol that resumes streams at the same
	// target, or nil if the targets keep no streams.
	Resumer() Resumer
}

// Resumer is the part of a Protocol for targets that keep a stream after its
// connection broke.
type Resumer interface {
	// Resume returns the request for the events after targetReq.LastEventID.
	Resume(ctx context.Context, targetReq *TargetRequest) (*http.Request, error)
	// Cancel returns the request that ends a stream that no caller waits for.
	Cancel(ctx context.Context, address string, attempt ident.Attempt) (*http.Request, error)
	// StreamGone reports whether the response to a Resume request means that the
	// target no longer holds the stream.
	StreamGone(response *http.Response) bool
}

// TargetRequest describes one request to one target, from which a Protocol builds
// the HTTP request.
type TargetRequest struct {
	Request *request.Request
	Attempt ident.Attempt
	Target  external.TargetRecord
	// LastEventID is the ID of the last event of the stream that the caller has
	// received, or zero.
	LastEventID uint64
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Source identifies the KV cache from which the answer is generated, or is
	// empty.
	Source KVSource
	// CacheHolder is the address of an engine that holds a part of the prompt's KV
	// cache, which the target is to fetch first, or empty.
	CacheHolder string
	// PromptOnly reports whether only the prompt is to be computed.
	PromptOnly bool
	// Memory bounds the bytes that responses hold together. It may be nil.
	Memory *bytebudget.Budget
}

// KVSource identifies the KV cache of a prompt at the engine that computed it.
type KVSource struct {
	Address string
	Handle  string
	// Version is the software version that wrote the KV cache.
	Version ident.SoftwareVersion
}

// ResponseKind classifies a response by its status and header.
type ResponseKind int

// The kinds of responses.
const (
	// ResponseMismatched responses don't identify themselves as responses to the
	// attempt.
	ResponseMismatched ResponseKind = iota
	// ResponseRejected responses state that the request did not run.
	ResponseRejected
	// ResponseAmbiguous responses have a status that means to callers that their request did
	// not run, though the target does not state that. They are not forwarded.
	ResponseAmbiguous
	// ResponseFailed responses report that the target failed or accepts no work.
	ResponseFailed
	// ResponseUnary responses have a single body.
	ResponseUnary
	// ResponseStream responses are event streams.
	ResponseStream
)

// Event is one event of a stream.
type Event struct {
	// ID numbers the events. Zero marks a keep-alive, or the end of a stream
	// that ends without an event of its own.
	ID uint64
	// Text is what is written to the caller, valid until the next event is read.
	// It may be empty for the last event.
	Text []byte
	// Data is the event's data. Last reports whether the stream is complete with
	// this event.
	Data []byte
	Last bool
}

// EventReader reads the events of one stream.
type EventReader interface {
	// Next returns the next event.
	Next() (Event, error)
	// Ready reports whether the next event is already in memory.
	Ready() bool
	// Follows reports whether event next may directly follow event before.
	Follows(before, next uint64) bool
	// Drain reads to the end of the response after the last event.
	Drain() error
	// Close frees the memory of the events, whose texts can't be used any more.
	Close()
}

// usageReader is implemented by a Protocol whose responses may contain token
// counts.
type usageReader interface {
	Usage(data []byte) (request.TokenUsage, bool)
}
