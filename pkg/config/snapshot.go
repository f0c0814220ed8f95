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
	return s
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
func (s *Snapshot) Route(method, path string, model ident.Model) *Route {
	if hasDotSegment(path) {
		return nil
	}
	for i := range s.Document.Routes {
		route := &s.Document.Routes[i]
		if route.matches(method, path, model) {
			return route
		}
	}
	return nil
}

// matches reports whether a request falls under the route.
func (r *Route) matches(method, path string, model ident.Model) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
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
