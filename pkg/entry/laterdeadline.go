package entry

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

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
		if latest := time.Now().Add(left - endingMargin); latest.Before(deadline) {
			return latest
		}
	}
	return deadline
}
