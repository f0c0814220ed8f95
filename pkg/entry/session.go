package entry

import (
	"log/slog"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/overload"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// notReadyRetryAfter is the Retry-After delay while the daemon is not ready.
const notReadyRetryAfter = time.Second

// session handles one request from its arrival to the end of its response.
type session struct {
	handler   *Handler
	writer    *callerWriter
	httpReq   *http.Request
	id        ident.Request
	startedAt time.Time
	lifecycle *request.Lifecycle
	caller    caller
	// req is nil until the request was read and matched to a route.
	req *request.Request
	// ticket is nil unless the request was admitted.
	ticket admission.Ticket
	// activeClaim is the claim on the request's idempotency key, or nil.
	activeClaim *claims.ActiveClaim
	// revision is that of the configuration by which the request was read, or zero.
	revision ident.Revision
	// wait is how long the caller waits, or zero if it sent no deadline of its own.
	wait time.Duration
	// readAt is when the request had been read, from which its timeouts count.
	readAt time.Time
	// deadline is when the request must have ended.
	deadline time.Time
	// target is the target of the last attempt, attempts the number of attempts.
	target   ident.Target
	attempts int
	// begun reports whether a part of the answer was sent, so that a failure closes the
	// caller's connection instead of being reported.
	begun bool
	// runs is how many targets may have run the request.
	runs int
	// hold is what the request holds of the process's memory, or nil before that is counted.
	hold *overload.Hold
	// tokenUsage is reported when the ticket is released.
	tokenUsage request.TokenUsage
}

// newSession returns the session of a new request and counts it as received.
func newSession(h *Handler, w *callerWriter, r *http.Request, id ident.Request) *session {
	h.metrics.inState.WithLabelValues(request.Received.String()).Inc()
	return &session{
		handler: h, writer: w, httpReq: r, id: id, startedAt: time.Now(), lifecycle: request.NewLifecycle(h.metrics.stateChanged),
	}
}

// release records an unknown outcome for a claim that is still open and releases
// the ticket. It is deferred, so that it also runs after a panic.
func (s *session) release() {
	s.clearDeadlines()
	s.hold.Release()
	s.settleClaim(request.Unknown)
	if s.ticket != nil {
		if counter, ok := s.ticket.(admission.RunCounter); ok {
			counter.CountRuns(s.runs)
		}
		s.ticket.Release(s.tokenUsage)
	}
	if !s.lifecycle.State().Final() {
		s.handler.metrics.inState.WithLabelValues(s.lifecycle.State().String()).Dec()
	}
}

// clearDeadlines clears the deadlines of a stream over HTTP/2 that its caller has reset: net/http would
// otherwise keep it until they pass.
func (s *session) clearDeadlines() {
	if s.httpReq.ProtoMajor < 2 || s.httpReq.Context().Err() == nil {
		return
	}
	// The errors are ignored: the stream has ended.
	_ = s.writer.controller.SetReadDeadline(time.Time{})
	_ = s.writer.controller.SetWriteDeadline(time.Time{})
}

// currentConfig returns the current configuration. It fails while the daemon is
// not ready to serve.
func (s *session) currentConfig() (*config.Snapshot, error) {
	if err := s.handler.opts.Ready(); err != nil {
		return nil, err
	}
	snapshot := s.handler.opts.Config.Current()
	if snapshot == nil {
		return nil, errNoConfig
	}
	return snapshot, nil
}

// beginHold counts the request with its head. It fails if there is no room for it.
func (s *session) beginHold() error {
	if s.handler.opts.Overload == nil {
		return nil
	}
	var route ident.Route
	if snapshot := s.handler.opts.Config.Current(); snapshot != nil {
		if found := snapshot.Route(s.httpReq.Host, s.httpReq.Method, s.httpReq.URL.Path, ""); found != nil {
			route = found.Name
		}
	}
	var err error
	s.hold, err = s.handler.opts.Overload.Begin(s.httpReq, route, s.writer.controller)
	s.writer.hold = s.hold
	return err
}

// readRequest authenticates the caller, reads the body and builds the request.
func (s *session) readRequest() error {
	snapshot, err := s.currentConfig()
	if err != nil {
		return err
	}
	s.revision = snapshot.Revision
	if err := checkPath(s.httpReq.URL); err != nil {
		return err
	}
	opts := &s.handler.opts
	s.caller = identify(snapshot, opts.Format.Key(s.httpReq.Header))
	if s.caller.workspace != "" {
		s.hold.Known()
	}
	if s.caller.workspace == "" && !snapshot.MayBeOpen(s.httpReq.Host, s.httpReq.URL.Path) {
		return errInvalidKey
	}
	if err := s.checkTimeLeftByHead(snapshot); err != nil {
		return err
	}
	limit, timeout := opts.bodyLimits(snapshot)
	body, err := readBody(s.writer.ResponseWriter, s.httpReq, limit, timeout, s.hold)
	if err != nil {
		return err
	}
	if err := checkLeaks(snapshot, s.caller, s.httpReq, body); err != nil {
		return err
	}
	description, err := s.describe(body)
	if err != nil {
		return err
	}
	s.wait, s.readAt = description.Timeout, time.Now()
	s.req, err = buildRequest(snapshot, s.httpReq, s.id, s.caller, &description, body)
	if err != nil {
		return err
	}
	s.deadline = s.req.Deadline
	// A claim ends at the deadline that it was made with.
	if !s.needsClaim() {
		s.req.LaterDeadline = s.laterDeadline
	}
	return nil
}

// describe returns the request's properties, and counts what they take.
func (s *session) describe(body request.Body) (Description, error) {
	description, err := s.handler.opts.Format.Describe(s.httpReq, body)
	if err != nil {
		return Description{}, err
	}
	return description, s.hold.TakeParts(description.partBytes())
}

// admit waits for admission and then checks the key again, since it may have been
// revoked while the request was queued.
func (s *session) admit() error {
	s.lifecycle.TransitionTo(request.Queued)
	ticket, err := s.handler.opts.Admission.Admit(s.httpReq.Context(), s.req)
	if err != nil {
		return err
	}
	s.ticket = ticket
	snapshot, err := s.currentConfig()
	if err != nil {
		return err
	}
	if err := s.caller.check(snapshot); err != nil {
		return err
	}
	s.lifecycle.TransitionTo(request.Admitted)
	return nil
}

// run relays the request to a target and reports a failure to the caller. A
// failure after the response has begun aborts the response by a panic.
func (s *session) run() {
	if s.needsClaim() && !s.claim() {
		return
	}
	s.lifecycle.TransitionTo(request.Attempting)
	// If the relay panics, a target may have run the request.
	s.runs = 1
	result := s.handler.opts.Relay.Do(s.httpReq.Context(), s.req, s.writer)
	s.runs = result.Runs
	s.target, s.attempts, s.begun = result.Target, result.Attempts, result.ResponseStarted
	s.deadline = result.Deadline
	s.recordResult(result)
	s.settleClaim(result.Outcome)
	switch {
	case result.Outcome == request.Answered:
		s.handler.opts.Format.Answered(s.writer)
		s.end(request.Answered, nil)
	case result.ResponseStarted:
		s.end(result.Outcome, result.Err)
		panic(http.ErrAbortHandler)
	default:
		s.fail(result.Outcome, result.Err)
	}
}

// recordResult records the request's usage and timing. A request whose caller
// disconnected is charged for the part that was delivered; one that failed for
// any other reason is not charged.
func (s *session) recordResult(result relay.Result) {
	s.tokenUsage = result.Usage
	if result.ResponseStarted {
		s.lifecycle.TransitionTo(request.Streaming)
	}
	s.observe(result)
	charged := result.Outcome == request.Answered || (result.CallerGone && result.ResponseStarted)
	if !charged || s.req.Workspace == "" {
		return
	}
	s.handler.opts.Recorder.Record(usage.Record{
		Workspace: s.req.Workspace, Model: s.req.Model, Service: s.req.Service, At: time.Now(), Tokens: result.Usage,
	})
}

// observe reports the timing of a request that was passed to the relay.
func (s *session) observe(result relay.Result) {
	now := time.Now()
	observation := Observation{
		Workspace: s.req.Workspace, Route: s.req.Route, Class: s.req.Class, Model: s.req.Model,
		Outcome: result.Outcome, CallerGone: result.CallerGone, Total: now.Sub(s.startedAt), Events: result.Events,
	}
	observation.HasDeadline = s.wait > 0
	observation.InTime = result.Outcome == request.Answered && !now.After(s.deadline)
	class := string(s.req.Class)
	if result.ResponseStarted {
		observation.FirstPart = result.FirstAt.Sub(s.startedAt)
		s.handler.metrics.firstPart.WithLabelValues(class).Observe(observation.FirstPart.Seconds())
	}
	if result.Outcome == request.Answered {
		s.handler.durations.observe(s.req.Route, observation.Total, s.req.MaxOutputTokens)
		s.handler.metrics.duration.WithLabelValues(class).Observe(observation.Total.Seconds())
	}
	s.handler.opts.Observer.Observe(observation)
}

// fail ends the request and sends the caller an error response.
func (s *session) fail(outcome request.Outcome, err error) {
	s.end(outcome, err)
	s.handler.opts.Format.Fail(s.writer, Failure{
		ID: s.id, Outcome: outcome, Err: err, RetryAfter: retryAfterOf(err, fault.KindOf(err)),
	})
}

// end counts the completed request, and logs err unless it is nil.
func (s *session) end(outcome request.Outcome, err error) {
	s.lifecycle.TransitionTo(outcome.FinalState())
	var route ident.Route
	if s.req != nil {
		route = s.req.Route
	}
	if err == nil {
		s.handler.metrics.requestEnded(route, outcome, "")
		return
	}
	s.handler.metrics.requestEnded(route, outcome, string(fault.KindOf(err)))
	s.handler.opts.Log.Log(s.httpReq.Context(), logLevel(fault.KindOf(err)), "request not answered",
		"request", s.id, "workspace", s.caller.workspace, "route", route, "outcome", outcome,
		"target", s.target, "attempts", s.attempts, "begun", s.begun, "after", time.Since(s.startedAt), "left", s.timeLeft(),
		"revision", s.revision, "revisionAtEnd", s.revisionAtEnd(), "fingerprint", s.fingerprint(), "error", err)
}

// revisionAtEnd returns the revision of the configuration in force, or zero if the
// request was not read by one.
func (s *session) revisionAtEnd() ident.Revision {
	if s.revision == 0 {
		return 0
	}
	return s.handler.opts.Config.Current().Revision
}

// fingerprint returns the fingerprint of a request that was sent to a target or refused
// for its fingerprint, and otherwise the empty text: hashing costs more than the line.
func (s *session) fingerprint() string {
	if s.req == nil || (s.attempts == 0 && !s.req.HasFingerprint()) {
		return ""
	}
	return s.req.Fingerprint().String()
}

// timeLeft returns the time until the request's deadline, or zero if the request was
// not matched to a route.
func (s *session) timeLeft() time.Duration {
	if s.req == nil {
		return 0
	}
	return time.Until(s.deadline)
}

// logLevel returns the level at which a failure is logged. Errors that callers
// cause are logged at debug level, since callers could otherwise flood the log.
func logLevel(kind fault.Kind) slog.Level {
	switch kind {
	case fault.Unauthenticated, fault.Forbidden, fault.Invalid, fault.NotFound, fault.Limited, fault.TooLarge:
		return slog.LevelDebug
	default:
		return slog.LevelWarn
	}
}
