package entry

// Headers towards callers.
const (
	// HeaderOutcome tells what became of the request.
	HeaderOutcome = "Amaranth-Outcome"
	// HeaderRequest bears the request's id.
	HeaderRequest = "Amaranth-Request"
	// HeaderIdempotencyKey bears the caller's own key for a request.
	HeaderIdempotencyKey = "Idempotency-Key"
)
