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
	// agent is what the system calls itself towards targets.
	agent = "amaranthplank"
)

// forwarded lists the callers' headers that targets get. Whatever is not in the
// list stays here, the caller's key with it.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// returned lists the targets' headers that callers get.
var returned = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// Engines is the protocol of pkg/target.
type Engines struct {
	// Credential is the system's own towards targets. It may be empty.
	Credential string
}

var (
	_ Protocol = Engines{}
	_ Keeper   = Engines{}
)

// Request returns what goes to the target.
func (e Engines) Request(ctx context.Context, send *Send) (*http.Request, error) {
	req := send.Request
	outgoing, err := http.NewRequestWithContext(ctx, req.Method, "http://"+send.Target.Address+req.Path, target.NewBody(req.Body))
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(len(req.Body))
	for _, name := range forwarded {
		if value := req.Header.Get(name); value != "" {
			outgoing.Header.Set(name, value)
		}
	}
	e.setOwn(outgoing.Header, send)
	return outgoing, nil
}

// setOwn sets the system's own headers.
func (e Engines) setOwn(header http.Header, send *Send) {
	header.Set("User-Agent", agent)
	header.Set(target.HeaderAttempt, string(send.Attempt))
	header.Set(target.HeaderPriority, string(send.Request.Class))
	header.Set(target.HeaderDeadline, strconv.FormatInt(max(send.Left.Milliseconds(), 1), 10))
	if e.Credential != "" {
		header.Set(target.HeaderCredential, e.Credential)
	}
}

// Judge reads an answer's header.
func (Engines) Judge(send *Send, response *http.Response) Verdict {
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	switch {
	case response.Header.Get(target.HeaderAttempt) != string(send.Attempt):
		return VerdictForeign
	case send.Request.Stream && response.StatusCode == http.StatusOK && kind == eventStream:
		return VerdictEvents
	case refuses(response.StatusCode):
		return VerdictFailed
	}
	return VerdictWhole
}

// refuses reports whether a status says that the target takes no work.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusBadGateway
}

// Load returns nothing: engines tell their load in reports.
func (Engines) Load(*http.Response) (fleet.LoadReport, bool) { return fleet.LoadReport{}, false }

// Return sets the headers that callers get.
func (Engines) Return(to, from http.Header) {
	for _, name := range returned {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// EndsWithConnection returns false: every answer states its length.
func (Engines) EndsWithConnection() bool { return false }

// Usage reads the usage that an answer or an event states.
func (Engines) Usage(data []byte) (request.Figures, bool) {
	var stated target.Answer
	if json.Unmarshal(data, &stated) != nil || stated.Usage == nil {
		return request.Figures{}, false
	}
	return request.Figures{PromptTokens: stated.Usage.PromptTokens, OutputTokens: stated.Usage.CompletionTokens}, true
}

// Events reads a stream up to its end marker.
func (Engines) Events(_ *Send, response *http.Response) EventReader {
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

// Follows reports whether the events count up without a gap.
func (e *engineEvents) Follows(before, next uint64) bool { return next == before+1 }

// Drain reads the end of the answer.
func (e *engineEvents) Drain() error {
	if _, err := e.reader.Next(); !errors.Is(err, io.EOF) {
		return errAfterEnd
	}
	return nil
}

// errAfterEnd says that something came after a stream's last event.
var errAfterEnd = errors.New("the stream goes on after its last event")

// Keeper returns the protocol's own.
func (e Engines) Keeper() Keeper { return e }

// Resume asks for the rest of a stream.
func (e Engines) Resume(ctx context.Context, send *Send) (*http.Request, error) {
	url := "http://" + send.Target.Address + target.PathStreams + string(send.Attempt)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	e.setOwn(outgoing.Header, send)
	outgoing.Header.Set(target.HeaderAfter, strconv.FormatUint(send.After, 10))
	return outgoing, nil
}

// Cancel ends a stream.
func (e Engines) Cancel(ctx context.Context, address string, attempt ident.Attempt) (*http.Request, error) {
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

// Lost reports whether the engine does not hold the stream.
func (Engines) Lost(response *http.Response) bool {
	return response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone
}
