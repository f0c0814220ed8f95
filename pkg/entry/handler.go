package entry

import (
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Handler serves callers' requests.
type Handler struct {
	opts      Options
	metrics   *metrics
	durations *durations
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler {
	return &Handler{
		opts: opts.withDefaults(), metrics: newMetrics(opts.Registerer), durations: newDurations(),
	}
}

// ServeHTTP serves one request. If a response fails after it has begun, ServeHTTP
// aborts it by panicking with http.ErrAbortHandler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := h.opts.Format.Begin(w, r)
	s := newSession(h, newCallerWriter(w, h.opts.WriteTimeout), r, id)
	defer s.release()
	defer s.recoverPanic()
	s.serve(err)
	s.sendBuffered()
}

// serve answers the request, or refuses it for err unless that is nil.
func (s *session) serve(err error) {
	if err := s.beginHold(); err != nil {
		s.refuseWithoutRoom(err)
		return
	}
	if err != nil {
		s.discardBody()
		s.fail(request.NotRun, err)
		return
	}
	if err := s.readRequest(); err != nil {
		s.discardBody()
		s.fail(request.NotRun, err)
		return
	}
	if err := s.checkTimeLeft(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	if err := s.admit(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	s.run()
}

// sendBuffered sends the rest of an answer over HTTP/2 while its request is still counted: its caller
// may not read, and the server would otherwise wait for that after the handler. A request that gave
// way to others gets no answer.
func (s *session) sendBuffered() {
	if s.httpReq.ProtoMajor < 2 || s.hold == nil {
		return
	}
	if s.hold.BodyRead() != nil {
		panic(http.ErrAbortHandler)
	}
	// A flush fails only if the stream has ended.
	_ = s.writer.FlushError()
}

// refuseWithoutRoom refuses a request for which there is no room. Over HTTP/2, where each refusal
// would hold memory for as long as its caller doesn't read it, the stream is reset instead.
func (s *session) refuseWithoutRoom(err error) {
	if s.httpReq.ProtoMajor > 1 {
		s.end(request.NotRun, err)
		panic(http.ErrAbortHandler)
	}
	s.discardBody()
	s.fail(request.NotRun, err)
}

// stoppingRetryAfter is the Retry-After delay of requests that a stopping daemon
// refuses. Another daemon serves them at once.
const stoppingRetryAfter = 50 * time.Millisecond

// errStopping is returned for requests that may not end before the daemon does.
var errStopping = fault.New(fault.Unavailable, "the daemon is stopping and might not finish the request",
	"send the request again on a new connection").WithRetryAfter(stoppingRetryAfter)

// errNoConfig is returned while a newly started daemon has no configuration.
var errNoConfig = fault.New(fault.Unavailable, "the daemon has not loaded a configuration yet", "send the request again after the time in Retry-After").WithRetryAfter(notReadyRetryAfter)
