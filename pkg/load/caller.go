package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Caller sends calls to a daemon.
type Caller struct {
	Client *http.Client
	// URL is the daemon's base URL.
	URL string
	// Key is the workspace's key.
	Key   string
	Model string
	// ServicePath is the path of service calls.
	ServicePath string
}

// CallResult is the result of one call.
type CallResult struct {
	Call Call
	// Outcome is the outcome that the daemon reported, or Aborted, NoAnswer or
	// NotStarted.
	Outcome request.Outcome
	Status  int
	// First and Total are the times from the scheduled start of the call to the
	// first and the last part of the response. If the response isn't streamed,
	// First is the time to its end too.
	First, Total time.Duration
	// Tokens is the number of the stream's events that contain text.
	Tokens int
}

// Outcomes that the load generator determines itself.
const (
	// Aborted means that the response was incomplete or reported no outcome.
	Aborted request.Outcome = "aborted"
	// NoAnswer means that the daemon could not be reached or did not respond.
	NoAnswer request.Outcome = "no answer"
	// NotStarted means that the generator had too many calls in flight.
	NotStarted request.Outcome = "not started"
)

// Do makes one call, whose times count from its scheduled start.
func (c *Caller) Do(ctx context.Context, call Call, start time.Time) CallResult {
	result := CallResult{Call: call, Outcome: NoAnswer}
	r, err := c.request(ctx, call)
	if err != nil {
		return result
	}
	response, err := c.Client.Do(r)
	if err != nil {
		result.Total = time.Since(start)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	complete := result.read(response, start)
	result.Total = time.Since(start)
	result.Outcome = request.Outcome(response.Header.Get(request.HeaderOutcome) + response.Trailer.Get(request.HeaderOutcome))
	if !complete || result.Outcome == "" {
		result.Outcome = Aborted
	}
	return result
}

// request builds the HTTP request for a call.
func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	if call.Service {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+c.ServicePath, nil)
		c.setHeaders(r)
		return r, err
	}
	body, err := json.Marshal(map[string]any{
		"model": c.Model, "stream": call.Stream, "max_tokens": call.OutputTokens,
		"messages": []target.Message{{Role: "user", Content: content(call)}},
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+target.PathChat, bytes.NewReader(body))
	c.setHeaders(r)
	return r, err
}

// setHeaders sets the key and the content type.
func (c *Caller) setHeaders(r *http.Request) {
	if r != nil {
		r.Header.Set("Authorization", "Bearer "+c.Key)
		r.Header.Set("Content-Type", "application/json")
	}
}

// content returns a prompt that has a common prefix with all others and ends with the
// call's number.
func content(call Call) json.RawMessage {
	text := strings.Repeat("item ", call.PromptWords-1) + strconv.Itoa(call.Number)
	return json.RawMessage(strconv.Quote(text))
}

// read reads a response and reports whether it was complete.
func (r *CallResult) read(response *http.Response, start time.Time) bool {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, response.Body)
		r.First = time.Since(start)
		return err == nil
	}
	ended := false
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, target.MaxFrameBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if r.First == 0 {
			r.First = time.Since(start)
		}
		ended = data == target.EndMarker
		if !ended && !strings.Contains(data, `"usage":{`) {
			r.Tokens++
		}
	}
	return ended && lines.Err() == nil
}
