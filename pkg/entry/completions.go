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

// CompletionsFormat is the Format for clients of model APIs: completion requests in
// JSON, and requests to plain services under servicesPrefix.
type CompletionsFormat struct{}

var _ Format = CompletionsFormat{}

// servicesPrefix is the path prefix of plain services.
const servicesPrefix = "/services/"

// Begin assigns the request a new random ID.
func (CompletionsFormat) Begin(w http.ResponseWriter, _ *http.Request) (ident.Request, error) {
	id := ident.Request(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	return id, nil
}

// bearerPrefix precedes the key in the Authorization header; it is compared
// without regard to case.
const bearerPrefix = "bearer "

// Key returns the bearer token of the Authorization header. It returns an empty
// string if the header is missing, repeated or malformed.
func (CompletionsFormat) Key(header http.Header) string {
	values := header.Values(headerAuthorization)
	if len(values) != 1 || len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(values[0][len(bearerPrefix):])
}

// Describe parses a completion request or a request to a plain service.
func (CompletionsFormat) Describe(r *http.Request, body request.Body) (Description, error) {
	d := Description{Path: targetPath(r.URL, ""), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	if rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix); ok {
		name, _, _ := strings.Cut(rest, "/")
		d.Service = ident.Service(name)
		d.Path = targetPath(r.URL, servicesPrefix+name)
	} else if err := d.readCompletion(body.Text()); err != nil {
		return d, err
	}
	var err error
	d.Timeout, err = parseDeadline(r.Header.Get(HeaderDeadline))
	return d, err
}

// parseDeadline parses the value of HeaderDeadline. It returns zero for an empty
// value.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fault.New(fault.Invalid, "the deadline header is malformed", "send "+HeaderDeadline+" as a whole number of milliseconds above zero")
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// readCompletion parses the fields of a completion request that routing and
// admission need.
func (d *Description) readCompletion(body []byte) error {
	var completion target.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return fault.New(fault.Invalid, "the body is not a completion request", "send JSON with a model field")
	}
	d.Model = completion.Model
	d.Stream = completion.Stream
	d.MaxOutputTokens = completion.OutputLimit()
	d.PromptTokens = completion.PromptTokens()
	d.Prefix = completion.BlockHashes()
	return nil
}

// Fail responds with an ErrorBody in JSON.
func (CompletionsFormat) Fail(w http.ResponseWriter, failure Failure) {
	kind := fault.KindOf(failure.Err)
	detail := ErrorDetail{
		Kind: kind, Code: kind, Message: "the request failed", Outcome: failure.Outcome, Request: failure.ID,
	}
	var typed *fault.Error
	if errors.As(failure.Err, &typed) {
		detail.Message = typed.Reason
		detail.Remedy = typed.Remedy
	}
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(failure.Outcome))
	w.WriteHeader(kind.HTTPStatus())
	// A write fails only if the connection is closed.
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: detail})
}

// Answered sets the outcome as a trailer unless the response header already has
// it.
func (CompletionsFormat) Answered(w http.ResponseWriter) {
	if w.Header().Get(HeaderOutcome) == "" {
		w.Header().Set(http.TrailerPrefix+HeaderOutcome, string(request.Answered))
	}
}

// MarkAnswered sets the outcome in the header of a response that is not streamed.
func MarkAnswered(w http.ResponseWriter) { w.Header().Set(HeaderOutcome, string(request.Answered)) }
