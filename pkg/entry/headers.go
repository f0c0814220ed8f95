package entry

import "amaranthplank.example/amaranthplank/pkg/request"

// Headers of the caller-facing API.
const (
	// HeaderOutcome holds the request's outcome.
	HeaderOutcome = request.HeaderOutcome
	// HeaderRequest holds the request ID.
	HeaderRequest = "Amaranth-Request"
	// HeaderReplayed marks a response that was recorded for an earlier request
	// with the same idempotency key.
	HeaderReplayed = "Amaranth-Replayed"
	// HeaderDeadline holds how many milliseconds the caller waits for the
	// complete response.
	HeaderDeadline = "Amaranth-Deadline-Ms"
	// HeaderIdempotencyKey holds the idempotency key that the caller chose.
	HeaderIdempotencyKey = "Idempotency-Key"
	// headerAuthorization holds the workspace key.
	headerAuthorization = "Authorization"
)
