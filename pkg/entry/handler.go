package entry

import (
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// Handler serves callers.
type Handler struct {
	opts    Options
	metrics *metrics
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler {
	return &Handler{opts: opts.withDefaults(), metrics: newMetrics(opts.Registerer)}
}

// ServeHTTP serves one request. An answer that was begun and can't be completed
// is aborted by a panic.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, err := h.opts.Format.Begin(w, r)
	s := newSession(h, newCallerWriter(w, h.opts.WriteTimeout), r, id)
	defer s.leave()
	if err != nil {
		s.fail(request.NotRun, err)
		return
	}
	if err := s.read(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	if err := s.admit(); err != nil {
		s.fail(request.NotRun, err)
		return
	}
	s.run()
}

// errNoSnapshot tells the caller that the daemon has only just started.
var errNoSnapshot = fault.New(fault.Unavailable, "no configuration was read yet", "send the request again after the time in Retry-After").After(notReadyWait)
