package config

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// PublishedSource is the configuration of a deployment in which the platform's
// operator publishes routes, services, workspaces and keys, while defaults and
// exceptions come from a policy kept in version control. Published documents never
// set a knob and a policy never defines a name, so the two can't conflict. An
// exception for a name that is not published has no effect until it is.
type PublishedSource struct {
	log *slog.Logger

	// mu guards the fields below; current is read without it.
	mu       sync.Mutex
	policy   *Document
	revision ident.Revision
	document *Document
	current  atomic.Pointer[Snapshot]
}

var _ Source = (*PublishedSource)(nil)

// NewPublishedSource returns a PublishedSource that holds no published document yet.
func NewPublishedSource(policy *Document, log *slog.Logger) *PublishedSource {
	return &PublishedSource{policy: policy, log: log}
}

// Current returns the current configuration, or nil before the first.
func (p *PublishedSource) Current() *Snapshot { return p.current.Load() }

// Offer installs a published document, unless one of the same or a later revision
// is already installed. It reports whether the document was installed.
func (p *PublishedSource) Offer(revision ident.Revision, document *Document) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document != nil && revision <= p.revision {
		return false
	}
	p.revision, p.document = revision, document
	p.install()
	p.log.Info("configuration taken", "revision", revision, "routes", len(document.Routes), "workspaces", len(document.Workspaces))
	return true
}

// SetPolicy replaces the defaults and exceptions.
func (p *PublishedSource) SetPolicy(policy *Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	if p.document != nil {
		p.install()
	}
}

// install makes the published document, combined with the policy, the current
// configuration. The caller holds p.mu.
func (p *PublishedSource) install() {
	merged := *p.document
	merged.Defaults = p.policy.Defaults
	merged.Exceptions = p.policy.Exceptions
	p.current.Store(NewSnapshot(p.revision, &merged))
}
