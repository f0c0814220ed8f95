package config

import (
	"slices"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Snapshot is one accepted configuration in the form that the request path
// reads. It is never changed.
type Snapshot struct {
	Revision ident.Revision
	Document *Document
	keys     map[KeyDigest]keyOwner
	names    map[ident.Workspace]*Workspace
	resolver *resolver
	// byHost holds the routes that may match a host's requests, in the
	// document's order; the empty host stands for all that no route names.
	byHost map[string][]*Route
}

// keyOwner is the workspace and key that a digest belongs to.
type keyOwner struct {
	workspace *Workspace
	key       *Key
}

// NewSnapshot indexes a document that was checked.
func NewSnapshot(revision ident.Revision, document *Document) *Snapshot {
	s := &Snapshot{
		Revision: revision, Document: document, keys: make(map[KeyDigest]keyOwner),
		names: make(map[ident.Workspace]*Workspace, len(document.Workspaces)), resolver: newResolver(document),
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		s.names[workspace.Name] = workspace
		for j := range workspace.Keys {
			s.keys[workspace.Keys[j].Digest] = keyOwner{workspace: workspace, key: &workspace.Keys[j]}
		}
	}
	s.byHost = routesByHost(document)
	return s
}

// routesByHost lists the routes that may match the requests for each host.
func routesByHost(document *Document) map[string][]*Route {
	hosts := map[string][]*Route{"": nil}
	for i := range document.Routes {
		hosts[document.Routes[i].Host] = nil
	}
	for host := range hosts {
		for i := range document.Routes {
			route := &document.Routes[i]
			if route.Host == "" || route.Host == host {
				hosts[host] = append(hosts[host], route)
			}
		}
	}
	return hosts
}

// routesOf returns the routes that may match the requests for a host.
func (s *Snapshot) routesOf(host string) []*Route {
	if routes, ok := s.byHost[host]; ok {
		return routes
	}
	return s.byHost[""]
}

// WorkspaceOf returns the workspace that a key belongs to at the given time,
// or false where the key is not valid.
func (s *Snapshot) WorkspaceOf(digest KeyDigest, now time.Time) (*Workspace, bool) {
	owner, ok := s.keys[digest]
	if !ok {
		return nil, false
	}
	if !owner.key.Expires.IsZero() && !now.Before(owner.key.Expires) {
		return nil, false
	}
	return owner.workspace, true
}

// Workspace returns the workspace of a name, or nil.
func (s *Snapshot) Workspace(name ident.Workspace) *Workspace { return s.names[name] }

// Route returns the first route that matches, or nil. A path with dot segments
// has none, since a target may resolve it to the path of another route.
func (s *Snapshot) Route(host, method, path string, model ident.Model) *Route {
	if hasDotSegment(path) {
		return nil
	}
	for _, route := range s.routesOf(host) {
		if route.matches(method, path, model) {
			return route
		}
	}
	return nil
}

// MayBeOpen reports whether a request without a valid key may fall under a
// route that is open to all.
func (s *Snapshot) MayBeOpen(host, path string) bool {
	for _, route := range s.routesOf(host) {
		if route.Open && strings.HasPrefix(path, route.Path) {
			return true
		}
	}
	return false
}

// matches reports whether a request falls under the route.
func (r *Route) matches(method, path string, model ident.Model) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if r.Host != "" {
		return true
	}
	if r.Service != "" && !strings.HasPrefix(path, servicePath(r.Service)) {
		return false
	}
	return r.Model == "" || r.Model == model
}

// servicePath returns the start of the paths of one plain service.
func servicePath(service ident.Service) string { return "/services/" + string(service) + "/" }

// hasDotSegment reports whether a segment of the path is "." or "..".
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
