package config

import (
	"slices"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Snapshot is one revision of the configuration, indexed for the request path.
// It is immutable.
type Snapshot struct {
	Revision   ident.Revision
	Document   *Document
	keys       map[KeyDigest]keyOwner
	workspaces map[ident.Workspace]*Workspace
	resolver   *resolver
	// byHost holds the routes that may match requests for a host, in document
	// order; the empty host is the entry for all hosts that no route names.
	byHost map[string][]*Route
}

// keyOwner is the key with a certain digest, and its workspace.
type keyOwner struct {
	workspace *Workspace
	key       *Key
}

// NewSnapshot indexes a validated document.
func NewSnapshot(revision ident.Revision, document *Document) *Snapshot {
	s := &Snapshot{
		Revision: revision, Document: document, keys: make(map[KeyDigest]keyOwner),
		workspaces: make(map[ident.Workspace]*Workspace, len(document.Workspaces)), resolver: newResolver(document),
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		s.workspaces[workspace.Name] = workspace
		for j := range workspace.Keys {
			s.keys[workspace.Keys[j].Digest] = keyOwner{workspace: workspace, key: &workspace.Keys[j]}
		}
	}
	s.byHost = routesByHost(document)
	return s
}

// routesByHost groups the routes by the hosts whose requests they may match.
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

// routesOf returns the routes that may match requests for a host.
func (s *Snapshot) routesOf(host string) []*Route {
	if routes, ok := s.byHost[host]; ok {
		return routes
	}
	return s.byHost[""]
}

// WorkspaceOf returns the workspace that owns a key, or false if the key is
// unknown or has expired at the given time.
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

// Workspace returns the workspace with a name, or nil.
func (s *Snapshot) Workspace(name ident.Workspace) *Workspace { return s.workspaces[name] }

// Route returns the first route that matches, or nil. A path with dot segments
// matches none, since a target may resolve it to the path of another route.
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

// MayBeOpen reports whether a request without a valid key may match an open
// route. It checks only the host and the path.
func (s *Snapshot) MayBeOpen(host, path string) bool {
	for _, route := range s.routesOf(host) {
		if route.Open && strings.HasPrefix(path, route.Path) {
			return true
		}
	}
	return false
}

// matches reports whether the route matches a request for one of its hosts.
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

// servicePath returns the path prefix of one plain service.
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
