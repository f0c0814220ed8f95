package entry

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Handler serves callers' requests.
type Handler struct {
	opts    Options
	metrics *metrics
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler {
	return &Handler{opts: opts.withDefaults(), metrics: newMetrics(opts.Registerer)}
}

// ServeHTTP serves one request. If a response fails after it has begun, ServeHTTP
// aborts it by panicking with http.ErrAbortHandler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := h.opts.Format.Begin(w, r)
	s := newSession(h, newCallerWriter(w, h.opts.WriteTimeout), r, id)
	defer s.release()
	if err != nil {
		s.fail(request.NotRun, err)
		return
	}
	if err := s.readRequest(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	if err := s.admit(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	s.run()
}

// errNoConfig is returned while a newly started daemon has no configuration.
var errNoConfig = fault.New(fault.Unavailable, "the daemon has not loaded a configuration yet", "send the request again after the time in Retry-After").WithRetryAfter(notReadyRetryAfter)
