package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Relay sends requests to the targets that a router chooses.
type Relay struct {
	router routing.Router
	client *http.Client
}

// New returns a relay that sends through transport.
func New(router routing.Router, transport http.RoundTripper) *Relay {
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Relay{router: router, client: client}
}

// Do runs one request and writes the answer to w.
func (r *Relay) Do(ctx context.Context, req *request.Request, w http.ResponseWriter) Result {
	state, err := r.router.Choose(req, nil)
	if err != nil {
		return Result{Outcome: request.NotRun, Err: err}
	}
	defer r.router.Done(req, state.Record.Target)
	response, err := r.send(ctx, req, state)
	if err != nil {
		return Result{Outcome: request.Unknown, Err: fault.Wrap(err, fault.Unknown, "the target did not answer", "check whether the request ran before sending it again")}
	}
	defer func() { _ = response.Body.Close() }()
	return copyAnswer(w, response)
}

// send makes one attempt.
func (r *Relay) send(ctx context.Context, req *request.Request, state *fleet.TargetState) (*http.Response, error) {
	url := "http://" + state.Record.Address + req.Path
	outgoing, err := http.NewRequestWithContext(ctx, req.Method, url, io.NopCloser(bytes.NewReader(req.Body)))
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(len(req.Body))
	outgoing.Header.Set("Content-Type", req.Header.Get("Content-Type"))
	outgoing.Header.Set(target.HeaderAttempt, uuid.NewString())
	outgoing.Header.Set(target.HeaderPriority, string(req.Class))
	return r.client.Do(outgoing)
}

// copyAnswer hands the answer to the caller and reads the usage from its end.
func copyAnswer(w http.ResponseWriter, response *http.Response) Result {
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	var tail bytes.Buffer
	buffer := make([]byte, copyBytes)
	for {
		n, err := response.Body.Read(buffer)
		keepTail(&tail, buffer[:n])
		if _, werr := w.Write(buffer[:n]); werr != nil {
			return Result{Outcome: request.Unknown, Err: werr, Started: true}
		}
		_ = controller.Flush()
		if err == io.EOF {
			return Result{Outcome: request.Answered, Figures: figuresIn(tail.Bytes()), Started: true}
		}
		if err != nil {
			return Result{Outcome: request.Unknown, Err: err, Started: true}
		}
	}
}

const (
	// copyBytes is the size of the copy buffer.
	copyBytes = 32 << 10
	// tailBytes is how much of an answer's end is kept for its usage.
	tailBytes = 64 << 10
)

// keepTail appends data and drops what is older than tailBytes.
func keepTail(tail *bytes.Buffer, data []byte) {
	tail.Write(data)
	if excess := tail.Len() - tailBytes; excess > 0 {
		tail.Next(excess)
	}
}

// figuresIn reads the last usage in an answer or in a stream's events.
func figuresIn(tail []byte) request.Figures {
	var figures request.Figures
	for line := range bytes.Lines(tail) {
		var answer target.Answer
		data := bytes.TrimPrefix(bytes.TrimSpace(line), []byte("data: "))
		if json.Unmarshal(data, &answer) != nil || answer.Usage == nil {
			continue
		}
		figures = request.Figures{PromptTokens: answer.Usage.PromptTokens, OutputTokens: answer.Usage.CompletionTokens}
	}
	return figures
}
