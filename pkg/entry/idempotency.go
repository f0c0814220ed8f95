package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// runningRetryAfter is the Retry-After delay while an earlier request with the
// same idempotency key is running.
const runningRetryAfter = 2 * time.Second

// Errors of a request whose idempotency key was claimed by an earlier request.
var (
	errIdempotencyKeyReused      = fault.New(fault.Invalid, "the idempotency key was already used for a different request", "use a new key for each request")
	errIdempotencyKeyInProgress  = fault.New(fault.Conflict, "an earlier request with the same idempotency key is still running", "send the request again with the same key after the time in Retry-After").WithRetryAfter(runningRetryAfter)
	errIdempotencyOutcomeUnknown = fault.New(fault.Unknown, "an earlier request with the same idempotency key may have run", "check whether it ran before sending it with another key")
	errResponseNotStored         = fault.New(fault.Conflict, "an earlier request with the same idempotency key was answered, but its response was too large to store", "read the result with another request")
)

// needsClaim reports whether the request's idempotency key must be claimed.
// Idempotent requests need no claim. Keys of requests without a workspace are not
// claimed, since unrelated callers could choose the same key.
func (s *session) needsClaim() bool {
	return s.handler.opts.Claims != nil && !s.req.Idempotent && s.req.IdempotencyKey != "" && s.req.Workspace != ""
}

// claim claims the idempotency key. It reports false if it has already responded
// to the caller, either with the result of an earlier request or with an error.
func (s *session) claim() bool {
	key := claims.Key{Workspace: s.req.Workspace, Route: s.req.Route, Text: s.req.IdempotencyKey}
	fingerprint := claims.FingerprintOf(s.req.Method, s.req.Path, s.req.Body.Text())
	claim, existing, err := s.handler.opts.Claims.Claim(key, fingerprint, s.req.Deadline)
	if err != nil {
		s.fail(request.NotRun, err)
		return false
	}
	if existing != nil {
		s.replay(existing, fingerprint)
		return false
	}
	s.activeClaim = claim
	s.writer.recording = true
	return true
}

// replay responds with the result of an earlier request with the same key.
func (s *session) replay(existing *claims.Claim, fingerprint claims.Fingerprint) {
	switch {
	case existing.Fingerprint != fingerprint:
		s.fail(request.NotRun, errIdempotencyKeyReused)
	case existing.State == claims.Running:
		s.fail(request.Unknown, errIdempotencyKeyInProgress)
	case existing.State != claims.Answered:
		s.fail(request.Unknown, errIdempotencyOutcomeUnknown)
	case existing.Response == nil:
		s.fail(request.Unknown, errResponseNotStored)
	default:
		header := s.writer.Header()
		header.Set("Content-Type", existing.Response.ContentType)
		if encoding := existing.Response.ContentEncoding; encoding != "" {
			header.Set("Content-Encoding", encoding)
		}
		header.Set(HeaderReplayed, "true")
		header.Set(HeaderOutcome, string(request.Answered))
		s.end(request.Answered, nil)
		s.writer.WriteHeader(existing.Response.Status)
		// A write fails only if the connection is closed.
		_, _ = s.writer.Write(existing.Response.Body)
	}
}

// settleClaim records the request's outcome in its claim. Later calls do nothing.
func (s *session) settleClaim(outcome request.Outcome) {
	if s.activeClaim == nil {
		return
	}
	claim := s.activeClaim
	s.activeClaim = nil
	switch outcome {
	case request.Answered:
		claim.Answered(claims.Response{
			Status: s.writer.status, Body: s.writer.recorded,
			ContentType:     s.writer.Header().Get("Content-Type"),
			ContentEncoding: s.writer.Header().Get("Content-Encoding"),
		})
	case request.NotRun:
		claim.NotRun()
	default:
		claim.Unknown()
	}
}
