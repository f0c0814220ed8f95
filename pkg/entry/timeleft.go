package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// EndingMargin is the time before the process is killed by which a request must have
// ended, so that the end of its answer still reaches the caller.
const EndingMargin = 250 * time.Millisecond

// slowdownAllowed is by how much requests may become slower than the longest recent one of
// their route. The load changes within a stop, and a refused caller loses one round trip
// where a cut one loses its answer.
const slowdownAllowed = 2

// checkTimeLeft returns an error if the daemon is stopping and may be killed before the
// request ends. Once the balancer sends no more requests, that is if the request's deadline is
// not before the kill, whatever requests of its route took: its caller reaches another daemon.
// Until then a refused caller may be sent back here, so a request is taken that ends before the
// kill even if it takes slowdownAllowed times as long as expected; its deadline is then
// before the kill, so that it ends with an answer even if it takes longer.
func (s *session) checkTimeLeft() error {
	left, stopping := s.handler.opts.TimeLeft()
	if !stopping {
		return nil
	}
	if s.timeNeeded()+EndingMargin > left {
		return errStopping
	}
	if latest := time.Now().Add(left - EndingMargin); latest.Before(s.req.Deadline) {
		s.req.Deadline, s.deadline = latest, latest
	}
	return nil
}

// checkTimeLeftByHead returns an error if the head of a request shows already that a stopping
// daemon may be killed before it ends, so that its caller need not send the body. A request whose
// format describes it only with its body passes.
func (s *session) checkTimeLeftByHead(snapshot *config.Snapshot) error {
	left, stopping := s.handler.opts.TimeLeft()
	if !stopping || !s.handler.opts.BalancerAway() {
		return nil
	}
	description, err := s.handler.opts.Format.Describe(s.httpReq, request.Body{})
	if err != nil {
		return nil //nolint:nilerr // It is described again with its body.
	}
	req, err := buildRequest(snapshot, s.httpReq, s.id, s.caller, &description, request.Body{})
	if err == nil && time.Until(req.Deadline)+EndingMargin > left {
		return errStopping
	}
	return nil
}

// timeNeeded returns how long the request may take on a stopping daemon.
func (s *session) timeNeeded() time.Duration {
	need := time.Until(s.req.Deadline)
	if s.handler.opts.BalancerAway() {
		return need
	}
	if expected, ok := s.handler.durations.expected(s.req.Route, s.req.MaxOutputTokens); ok {
		need = min(need, slowdownAllowed*expected)
	}
	return need
}

// laterDeadline returns the request's deadline by the route that the configuration now in
// force has for it, whatever its name, or the zero time if there is none. It is before the
// process is killed.
func (s *session) laterDeadline() time.Time {
	snapshot := s.handler.opts.Config.Current()
	route := snapshot.Route(s.req.Host, s.req.Method, s.httpReq.URL.Path, s.req.Model)
	if route == nil {
		return time.Time{}
	}
	knobs := snapshot.Knobs(config.Selector{Workspace: s.req.Workspace, Route: route.Name, Model: s.req.Model, Service: s.req.Service})
	deadline := s.readAt.Add(requestTimeout(s.wait, route, &knobs.Retry))
	if left, stopping := s.handler.opts.TimeLeft(); stopping {
		if latest := time.Now().Add(left - EndingMargin); latest.Before(deadline) {
			return latest
		}
	}
	return deadline
}
