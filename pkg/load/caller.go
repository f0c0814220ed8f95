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

// Caller makes calls to a daemon.
type Caller struct {
	Client *http.Client
	// URL is the daemon's base URL.
	URL string
	// Key is the workspace's key.
	Key   string
	Model string
	// ServicePath is the path that service calls get.
	ServicePath string
}

// Sample is how one call went.
type Sample struct {
	Call Call
	// Outcome is what the daemon said, or "aborted" where the answer broke
	// off, or "no answer" where there was none.
	Outcome request.Outcome
	Status  int
	// First and Total are the times to the first and the last part, from when
	// the call was to start.
	First, Total time.Duration
	// Tokens counts the stream's events that bear text.
	Tokens int
}

// Outcomes that only a caller sees.
const (
	// Aborted means that the answer broke off.
	Aborted request.Outcome = "aborted"
	// NoAnswer means that the daemon could not be reached or said nothing.
	NoAnswer request.Outcome = "no answer"
	// NotStarted means that the generator itself was at its bound.
	NotStarted request.Outcome = "not started"
)

// Do makes one call that was to start at a time.
func (c *Caller) Do(ctx context.Context, call Call, start time.Time) Sample {
	sample := Sample{Call: call, Outcome: NoAnswer}
	r, err := c.request(ctx, call)
	if err != nil {
		return sample
	}
	response, err := c.Client.Do(r)
	if err != nil {
		sample.Total = time.Since(start)
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	sample.Status = response.StatusCode
	whole := sample.read(response, start)
	sample.Total = time.Since(start)
	sample.Outcome = request.Outcome(response.Header.Get(request.HeaderOutcome) + response.Trailer.Get(request.HeaderOutcome))
	if !whole || sample.Outcome == "" {
		sample.Outcome = Aborted
	}
	return sample
}

// request makes the HTTP request of a call.
func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	if call.Service {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+c.ServicePath, nil)
		c.authorise(r)
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
	c.authorise(r)
	return r, err
}

// authorise sets the headers.
func (c *Caller) authorise(r *http.Request) {
	if r != nil {
		r.Header.Set("Authorization", "Bearer "+c.Key)
		r.Header.Set("Content-Type", "application/json")
	}
}

// content returns a prompt that starts as all others do and ends in its own
// number.
func content(call Call) json.RawMessage {
	text := strings.Repeat("item ", call.PromptWords-1) + strconv.Itoa(call.Number)
	return json.RawMessage(strconv.Quote(text))
}

// read reads an answer and reports whether it came to its end.
func (s *Sample) read(response *http.Response, start time.Time) bool {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		_, err := io.Copy(io.Discard, response.Body)
		s.First = time.Since(start)
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
		if s.First == 0 {
			s.First = time.Since(start)
		}
		ended = data == target.EndMarker
		if !ended && !strings.Contains(data, `"usage":{`) {
			s.Tokens++
		}
	}
	return ended && lines.Err() == nil
}
