package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Completions is the format of model callers: completions in JSON, and plain
// services below a path of their own.
type Completions struct{}

var _ Format = Completions{}

// servicesPrefix is the start of the paths of plain services.
const servicesPrefix = "/services/"

// Begin gives the request an id.
func (Completions) Begin(w http.ResponseWriter, _ *http.Request) (ident.Request, error) {
	id := ident.Request(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	return id, nil
}

// scheme is the start of the header that bears a key.
const scheme = "bearer "

// Key returns the bearer's key.
func (Completions) Key(header http.Header) string {
	values := header.Values(headerAuthorization)
	if len(values) != 1 || len(values[0]) <= len(scheme) || !strings.EqualFold(values[0][:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(values[0][len(scheme):])
}

// Describe reads a completion or a call of a service.
func (Completions) Describe(r *http.Request, body []byte) (Description, error) {
	d := Description{Path: targetPath(r.URL, ""), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	if rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		d.Service = ident.Service(name)
		d.Path = targetPath(r.URL, servicesPrefix+name)
	} else if err := d.readModel(body); err != nil {
		return d, err
	}
	var err error
	d.Wait, err = waitOfCaller(r.Header.Get(HeaderDeadline))
	return d, err
}

// waitOfCaller returns how long the caller waits, or zero.
func waitOfCaller(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fault.New(fault.Invalid, "the deadline is malformed", "send "+HeaderDeadline+" as a whole number of milliseconds above zero")
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// readModel reads the parts of a completion's body that the system needs.
func (d *Description) readModel(body []byte) error {
	var completion target.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return fault.New(fault.Invalid, "the body is not a completion request", "send JSON with a model field")
	}
	d.Model = completion.Model
	d.Stream = completion.Stream
	d.MaxOutputTokens = completion.OutputLimit()
	d.PromptTokens = completion.PromptTokens()
	d.Prefix = completion.Blocks()
	return nil
}

// Fail answers with an error body in JSON.
func (Completions) Fail(w http.ResponseWriter, failure Failure) {
	kind := fault.KindOf(failure.Err)
	detail := ErrorDetail{
		Kind: kind, Code: kind, Message: "the request failed", Outcome: failure.Outcome, Request: failure.ID,
	}
	var typed *fault.Error
	if errors.As(failure.Err, &typed) {
		detail.Message = typed.Reason
		detail.Remedy = typed.Remedy
	}
	if failure.Wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.Wait.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(failure.Outcome))
	w.WriteHeader(kind.HTTPStatus())
	// A failed write means that the connection is gone, which needs no answer.
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: detail})
}

// Answered sets the outcome, in a trailer where the answer was begun without.
func (Completions) Answered(w http.ResponseWriter) {
	if w.Header().Get(HeaderOutcome) == "" {
		w.Header().Set(http.TrailerPrefix+HeaderOutcome, string(request.Answered))
	}
}

// MarkWhole sets the outcome of an answer that is handed over in one piece.
func MarkWhole(w http.ResponseWriter) { w.Header().Set(HeaderOutcome, string(request.Answered)) }
