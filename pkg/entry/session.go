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
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// notReadyWait is the wait that is advised while the daemon is not ready.
const notReadyWait = time.Second

// session is one request's stay at the entry.
type session struct {
	handler *Handler
	writer  *callerWriter
	http    *http.Request
	id      ident.Request
	began   time.Time
	life    *request.Lifecycle
	from    caller
	// req is nil until the request was read.
	req *request.Request
	// ticket is nil unless the request is admitted.
	ticket admission.Ticket
	// hold is the claim of the request's idempotency key, or nil.
	hold *claims.Hold
	// callerWaits says that the caller stated how long it waits.
	callerWaits bool
	// target and attempts are the last send's and how many there were.
	target   ident.Target
	attempts int
	// figures are what the ticket is given back with.
	figures request.TokenUsage
}

// newSession returns the session of a request that was just received.
func newSession(h *Handler, w *callerWriter, r *http.Request, id ident.Request) *session {
	h.metrics.states.WithLabelValues(request.Received.String()).Inc()
	return &session{
		handler: h, writer: w, http: r, id: id, began: time.Now(), life: request.NewLifecycle(h.metrics.moved),
	}
}

// leave gives back what the session holds, also where it ends by a panic.
func (s *session) leave() {
	s.settleClaim(request.Unknown)
	if s.ticket != nil {
		s.ticket.Release(s.figures)
	}
	if !s.life.State().Final() {
		s.handler.metrics.states.WithLabelValues(s.life.State().String()).Dec()
	}
}

// current returns the configuration in force, if the daemon may serve by it.
func (s *session) current() (*config.Snapshot, error) {
	if err := s.handler.opts.Ready(); err != nil {
		return nil, err
	}
	snapshot := s.handler.opts.Config.Current()
	if snapshot == nil {
		return nil, errNoSnapshot
	}
	return snapshot, nil
}

// read checks the key and makes a request of what the caller sent.
func (s *session) read() error {
	snapshot, err := s.current()
	if err != nil {
		return err
	}
	if err := checkPath(s.http.URL); err != nil {
		return err
	}
	opts := &s.handler.opts
	s.from = identify(snapshot, opts.Format.Key(s.http.Header))
	if s.from.workspace == "" && !snapshot.MayBeOpen(s.http.Host, s.http.URL.Path) {
		return errNoKey
	}
	limit, timeout := opts.bodyLimits(snapshot)
	body, err := readBody(s.writer.ResponseWriter, s.http, limit, timeout)
	if err != nil {
		return err
	}
	if err := checkLeaks(snapshot, s.from, s.http, body); err != nil {
		return err
	}
	said, err := opts.Format.Describe(s.http, body)
	if err != nil {
		return err
	}
	s.callerWaits = said.Wait > 0
	s.req, err = build(snapshot, s.http, s.id, s.from, &said, body)
	return err
}

// admit waits for the ticket and checks the key again, which may have been
// withdrawn while the request waited.
func (s *session) admit() error {
	s.life.TransitionTo(request.Queued)
	ticket, err := s.handler.opts.Admission.Admit(s.http.Context(), s.req)
	if err != nil {
		return err
	}
	s.ticket = ticket
	snapshot, err := s.current()
	if err != nil {
		return err
	}
	if err := s.from.check(snapshot); err != nil {
		return err
	}
	s.life.TransitionTo(request.Admitted)
	return nil
}

// run has the request relayed and tells the caller of a failure.
func (s *session) run() {
	if s.keyed() && !s.claim() {
		return
	}
	s.life.TransitionTo(request.Attempting)
	result := s.handler.opts.Relay.Do(s.http.Context(), s.req, s.writer)
	s.target, s.attempts = result.Target, result.Attempts
	s.settle(result)
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

// settle records what the request used, once its outcome is known. A request
// whose caller left is charged for the part that was handed over; one that the
// system failed to complete is not.
func (s *session) settle(result relay.Result) {
	s.figures = result.Usage
	if result.ResponseStarted {
		s.life.TransitionTo(request.Streaming)
	}
	s.observe(result)
	charged := result.Outcome == request.Answered || (result.CallerGone && result.ResponseStarted)
	if !charged || s.req.Workspace == "" {
		return
	}
	s.handler.opts.Recorder.Record(usage.Record{
		Workspace: s.req.Workspace, Model: s.req.Model, Service: s.req.Service, At: time.Now(), Figures: result.Usage,
	})
}

// observe takes the times of a request that reached the targets.
func (s *session) observe(result relay.Result) {
	now := time.Now()
	observation := Observation{
		Workspace: s.req.Workspace, Route: s.req.Route, Class: s.req.Class, Model: s.req.Model,
		Outcome: result.Outcome, CallerGone: result.CallerGone, Total: now.Sub(s.began), Events: result.Events,
	}
	observation.Deadline = s.callerWaits
	observation.InTime = result.Outcome == request.Answered && !now.After(s.req.Deadline)
	class := string(s.req.Class)
	if result.ResponseStarted {
		observation.FirstPart = result.FirstAt.Sub(s.began)
		s.handler.metrics.first.WithLabelValues(class).Observe(observation.FirstPart.Seconds())
	}
	if result.Outcome == request.Answered {
		s.handler.metrics.seconds.WithLabelValues(class).Observe(observation.Total.Seconds())
	}
	s.handler.opts.Observer.Observe(observation)
}

// fail ends the request and tells the caller why, at once.
func (s *session) fail(outcome request.Outcome, err error) {
	s.end(outcome, err)
	s.handler.opts.Format.Fail(s.writer, Failure{
		ID: s.id, Outcome: outcome, Err: err, Wait: waitOf(err, fault.KindOf(err)),
	})
}

// end counts the request's end and logs it where it was not answered.
func (s *session) end(outcome request.Outcome, err error) {
	s.life.TransitionTo(outcome.FinalState())
	var route ident.Route
	if s.req != nil {
		route = s.req.Route
	}
	if err == nil {
		s.handler.metrics.ended(route, outcome, "")
		return
	}
	s.handler.metrics.ended(route, outcome, string(fault.KindOf(err)))
	s.handler.opts.Log.Log(s.http.Context(), levelOf(fault.KindOf(err)), "request not answered",
		"request", s.id, "workspace", s.from.workspace, "route", route, "outcome", outcome,
		"target", s.target, "attempts", s.attempts, "after", time.Since(s.began), "error", err)
}

// levelOf returns the level that a failure is logged at. What callers bring
// about themselves is kept out of the way, since they could flood the log.
func levelOf(kind fault.Kind) slog.Level {
	switch kind {
	case fault.Unauthenticated, fault.Forbidden, fault.Invalid, fault.NotFound, fault.Limited, fault.TooLarge:
		return slog.LevelDebug
	default:
		return slog.LevelWarn
	}
}
