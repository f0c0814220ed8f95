package relay

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// eventStream is the content type of streams.
	eventStream = "text/event-stream"
	// userAgent is the User-Agent header sent to targets.
	userAgent = "amaranthplank"
)

// forwardedHeaders lists the request headers that are forwarded to targets. All
// others, such as the one with the caller's key, are not.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// returnedHeaders lists the response headers that are returned to callers.
var returnedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// EngineProtocol is the protocol of pkg/target.
type EngineProtocol struct {
	// Credential authenticates the daemons to targets. It may be empty.
	Credential string
}

var (
	_ Protocol = EngineProtocol{}
	_ Resumer  = EngineProtocol{}
)

// Request returns the request to the target.
func (e EngineProtocol) Request(ctx context.Context, targetReq *TargetRequest) (*http.Request, error) {
	req := targetReq.Request
	outgoing, err := http.NewRequestWithContext(ctx, req.Method, "http://"+targetReq.Target.Address+req.Path, target.NewBody(req.Body.Reader()))
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(req.Body.Len())
	for _, name := range forwardedHeaders {
		if value := req.Header.Get(name); value != "" {
			outgoing.Header.Set(name, value)
		}
	}
	e.setDaemonHeaders(outgoing.Header, targetReq)
	return outgoing, nil
}

// setDaemonHeaders sets the headers that the daemon adds to a request.
func (e EngineProtocol) setDaemonHeaders(header http.Header, targetReq *TargetRequest) {
	header.Set("User-Agent", userAgent)
	header.Set(target.HeaderAttempt, string(targetReq.Attempt))
	header.Set(target.HeaderPriority, string(targetReq.Request.Class))
	header.Set(target.HeaderDeadline, strconv.FormatInt(max(targetReq.Remaining.Milliseconds(), 1), 10))
	if e.Credential != "" {
		header.Set(target.HeaderCredential, e.Credential)
	}
}

// Classify returns the kind of a response by its status and header.
func (EngineProtocol) Classify(targetReq *TargetRequest, response *http.Response) ResponseKind {
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case response.Header.Get(target.HeaderAttempt) != string(targetReq.Attempt):
		return ResponseMismatched
	case targetReq.Request.Stream && response.StatusCode == http.StatusOK && kind == eventStream:
		return ResponseStream
	case isRefusal(response.StatusCode):
		return ResponseFailed
	}
	return ResponseUnary
}

// isRefusal reports whether a status means that the target accepts no work.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadGateway
}

// Load returns false: engines report their load separately.
func (EngineProtocol) Load(*http.Response) (fleet.LoadReport, bool) { return fleet.LoadReport{}, false }

// CopyHeaders copies the headers in returnedHeaders.
func (EngineProtocol) CopyHeaders(to, from http.Header) {
	for _, name := range returnedHeaders {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// EndsWithConnection returns false: every response has a content length or chunked
// encoding.
func (EngineProtocol) EndsWithConnection() bool { return false }

// Usage parses the usage in a response's body or an event's data.
func (EngineProtocol) Usage(data []byte) (request.TokenUsage, bool) {
	var response target.ResponseUsage
	if json.Unmarshal(data, &response) != nil || response.Usage == nil {
		return request.TokenUsage{}, false
	}
	return request.TokenUsage{PromptTokens: response.Usage.PromptTokens, OutputTokens: response.Usage.CompletionTokens}, true
}

// Events returns a reader of a stream that ends with target.EndMarker.
func (EngineProtocol) Events(_ *TargetRequest, response *http.Response) EventReader {
	return &engineEvents{reader: target.NewFrameReader(response.Body)}
}

// engineEvents reads the frames of an engine's stream.
type engineEvents struct {
	reader *target.FrameReader
}

// Next returns the next event.
func (e *engineEvents) Next() (Event, error) {
	frame, err := e.reader.Next()
	if err != nil {
		return Event{}, err
	}
	return Event{ID: frame.ID, Text: frame.Text, Data: frame.Data, Last: string(frame.Data) == target.EndMarker}, nil
}

// Ready reports whether the next frame is in memory.
func (e *engineEvents) Ready() bool { return e.reader.Ready() }

// Follows reports whether the event IDs are consecutive.
func (e *engineEvents) Follows(before, next uint64) bool { return next == before+1 }

// Close frees the memory of the frames.
func (e *engineEvents) Close() { e.reader.Close() }

// Drain reads the end of the response.
func (e *engineEvents) Drain() error {
	if _, err := e.reader.Next(); !errors.Is(err, io.EOF) {
		return errDataAfterEnd
	}
	return nil
}

// errDataAfterEnd means that data followed a stream's last event.
var errDataAfterEnd = errors.New("unexpected data after the stream's last event")

// Resumer returns the protocol itself.
func (e EngineProtocol) Resumer() Resumer { return e }

// Resume returns the request for the rest of a stream.
func (e EngineProtocol) Resume(ctx context.Context, targetReq *TargetRequest) (*http.Request, error) {
	url := "http://" + targetReq.Target.Address + target.PathStreams + string(targetReq.Attempt)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	e.setDaemonHeaders(outgoing.Header, targetReq)
	outgoing.Header.Set(target.HeaderLastEventID, strconv.FormatUint(targetReq.LastEventID, 10))
	return outgoing, nil
}

// Cancel returns the request that ends a stream.
func (e EngineProtocol) Cancel(ctx context.Context, address string, attempt ident.Attempt) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+target.PathStreams+string(attempt), nil)
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set(target.HeaderAttempt, string(attempt))
	if e.Credential != "" {
		outgoing.Header.Set(target.HeaderCredential, e.Credential)
	}
	return outgoing, nil
}

// StreamGone reports whether the engine no longer holds the stream.
func (EngineProtocol) StreamGone(response *http.Response) bool {
	return response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone
}
