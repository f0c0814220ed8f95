package entry

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and what the caller can do.
type ErrorDetail struct {
	Kind    fault.Kind      `json:"type"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy"`
	Outcome request.Outcome `json:"outcome"`
	Request ident.Request   `json:"request"`
}

// writeError answers with an error body.
func writeError(w http.ResponseWriter, id ident.Request, outcome request.Outcome, err error) {
	detail := ErrorDetail{Kind: fault.KindOf(err), Message: "the request failed", Outcome: outcome, Request: id}
	var typed *fault.Error
	if errors.As(err, &typed) {
		detail.Message = typed.Reason
		detail.Remedy = typed.Remedy
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(outcome))
	w.WriteHeader(detail.Kind.HTTPStatus())
	// A failed write means that the connection is gone, which needs no answer.
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: detail})
}
