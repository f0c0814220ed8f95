package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Handler serves callers.
type Handler struct {
	opts Options
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	req, err := h.read(r, id)
	if err != nil {
		writeError(w, id, request.NotRun, err)
		return
	}
	ticket, err := h.opts.Admission.Admit(r.Context(), req)
	if err != nil {
		writeError(w, id, request.NotRun, err)
		return
	}
	w.Header().Set(HeaderOutcome, string(request.Answered))
	result := h.opts.Relay.Do(r.Context(), req, w)
	ticket.Release(result.Figures)
	if result.Outcome == request.Answered {
		h.opts.Recorder.Record(usage.Record{
			Workspace: req.Workspace, Model: req.Model, Service: req.Service, At: time.Now(), Figures: result.Figures,
		})
		return
	}
	h.opts.Log.Warn("request not answered", "request", id, "outcome", result.Outcome, "error", result.Err)
	if result.Started {
		panic(http.ErrAbortHandler)
	}
	writeError(w, id, result.Outcome, result.Err)
}

// read checks the key and makes a request of what the caller sent.
func (h *Handler) read(r *http.Request, id ident.Request) (*request.Request, error) {
	snapshot := h.opts.Config.Current()
	if snapshot == nil {
		return nil, fault.New(fault.Unavailable, "no configuration was read yet", "try again in a few seconds")
	}
	workspace, err := authenticate(snapshot, r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r, h.opts.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	return build(snapshot, r, id, workspace, body)
}

// authenticate returns the workspace whose key came with the request.
func authenticate(snapshot *config.Snapshot, r *http.Request) (ident.Workspace, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		if workspace, ok := snapshot.WorkspaceOf(config.DigestKey(key), time.Now()); ok {
			return workspace.Name, nil
		}
	}
	return "", fault.New(fault.Unauthenticated, "no valid key came with the request", "send the workspace's key as Authorization: Bearer KEY")
}
