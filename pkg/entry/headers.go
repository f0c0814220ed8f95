package entry

import "amaranthplank.example/amaranthplank/pkg/request"

// Headers towards callers.
const (
	// HeaderOutcome tells what became of the request.
	HeaderOutcome = request.HeaderOutcome
	// HeaderRequest bears the request's id.
	HeaderRequest = "Amaranth-Request"
	// HeaderReplayed marks the recorded answer of an earlier request with the
	// same idempotency key.
	HeaderReplayed = "Amaranth-Replayed"
	// HeaderDeadline bears the milliseconds that the caller waits for the
	// whole answer.
	HeaderDeadline = "Amaranth-Deadline-Ms"
	// HeaderIdempotencyKey bears the caller's own key for a request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// headerAuthorization bears the caller's key.
	headerAuthorization = "Authorization"
)
