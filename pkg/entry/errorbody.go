package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// ErrorBody is the JSON body of every error response, in the format that
// clients of model APIs expect.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and what the caller can do about it.
type ErrorDetail struct {
	Kind    fault.Kind `json:"type"`
	Message string     `json:"message"`
	// Code repeats the kind in the field that clients of model APIs read.
	Code    fault.Kind      `json:"code"`
	Remedy  string          `json:"remedy"`
	Outcome request.Outcome `json:"outcome"`
	Request ident.Request   `json:"request"`
}

// retryAfterOf returns how long the caller should wait before retrying. Zero
// means that a retry can't succeed.
func retryAfterOf(err error, kind fault.Kind) time.Duration {
	if wait := fault.RetryAfterOf(err); wait > 0 {
		return wait
	}
	switch kind {
	case fault.Unavailable, fault.Limited, fault.Timeout:
		return defaultRetryAfter
	default:
		return 0
	}
}

// defaultRetryAfter is used for retryable errors that don't set a delay.
const defaultRetryAfter = time.Second
