package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// runningWait is the wait that is advised while an earlier submission runs.
const runningWait = 2 * time.Second

// Errors of a submission whose idempotency key an earlier one holds.
var (
	errKeyReused  = fault.New(fault.Invalid, "the idempotency key was used with another request", "send each request under a key of its own")
	errKeyRunning = fault.New(fault.Conflict, "an earlier submission with the idempotency key has not ended", "send the request again with the same key after the time in Retry-After").After(runningWait)
	errKeyUnknown = fault.New(fault.Unknown, "an earlier submission with the idempotency key may have run", "check whether it ran before sending it under another key")
	errNotKept    = fault.New(fault.Conflict, "an earlier submission with the idempotency key was answered, and the answer is too large to be kept", "read the result in another way")
)

// keyed reports whether the request's idempotency key must be claimed. Requests
// that may run twice need no claim. Callers without a workspace get none, since
// strangers could have chosen the same key.
func (s *session) keyed() bool {
	return s.handler.opts.Claims != nil && !s.req.Idempotent && s.req.IdempotencyKey != "" && s.req.Workspace != ""
}

// claim claims the idempotency key. It reports false where the caller was
// answered instead, from an earlier submission or by a refusal.
func (s *session) claim() bool {
	key := claims.Key{Workspace: s.req.Workspace, Route: s.req.Route, Text: s.req.IdempotencyKey}
	fingerprint := claims.FingerprintOf(s.req.Method, s.req.Path, s.req.Body)
	hold, found, err := s.handler.opts.Claims.Claim(key, fingerprint, s.req.Deadline)
	if err != nil {
		s.fail(request.NotRun, err)
		return false
	}
	if found != nil {
		s.replay(found, fingerprint)
		return false
	}
	s.hold = hold
	s.writer.recording = true
	return true
}

// replay answers from an earlier submission with the same key.
func (s *session) replay(found *claims.Claim, fingerprint claims.Fingerprint) {
	switch {
	case found.Fingerprint != fingerprint:
		s.fail(request.NotRun, errKeyReused)
	case found.State == claims.Running:
		s.fail(request.Unknown, errKeyRunning)
	case found.State != claims.Answered:
		s.fail(request.Unknown, errKeyUnknown)
	case found.Answer == nil:
		s.fail(request.Unknown, errNotKept)
	default:
		header := s.writer.Header()
		header.Set("Content-Type", found.Answer.ContentType)
		if encoding := found.Answer.ContentEncoding; encoding != "" {
			header.Set("Content-Encoding", encoding)
		}
		header.Set(HeaderReplayed, "true")
		header.Set(HeaderOutcome, string(request.Answered))
		s.end(request.Answered, nil)
		s.writer.WriteHeader(found.Answer.Status)
		// A failed write means that the connection is gone.
		_, _ = s.writer.Write(found.Answer.Body)
	}
}

// settleClaim records what became of the request, once.
func (s *session) settleClaim(outcome request.Outcome) {
	if s.hold == nil {
		return
	}
	hold := s.hold
	s.hold = nil
	switch outcome {
	case request.Answered:
		hold.Answered(claims.Answer{
			Status: s.writer.status, Body: s.writer.recorded,
			ContentType:     s.writer.Header().Get("Content-Type"),
			ContentEncoding: s.writer.Header().Get("Content-Encoding"),
		})
	case request.NotRun:
		hold.NotRun()
	default:
		hold.Unknown()
	}
}
