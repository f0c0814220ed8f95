package config

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Published is the configuration of a deployment in which routes, services,
// workspaces and keys are published by the platform's operator, while defaults
// and exceptions come from a policy that is kept in version control. What is
// published never sets a knob, and a policy never defines a name, so that the
// two can't disagree; an exception for a name that is not published waits.
type Published struct {
	log *slog.Logger

	// mu guards changes of what follows.
	mu       sync.Mutex
	policy   *Document
	revision ident.Revision
	document *Document
	current  atomic.Pointer[Snapshot]
}

var _ Source = (*Published)(nil)

// NewPublished returns a configuration before the first was published.
func NewPublished(policy *Document, log *slog.Logger) *Published {
	return &Published{policy: policy, log: log}
}

// Current returns the configuration in force, or nil before the first.
func (p *Published) Current() *Snapshot { return p.current.Load() }

// Offer takes in a published document, unless one of the same or a later
// revision is in force. It reports whether the document is in force now.
func (p *Published) Offer(revision ident.Revision, document *Document) bool {
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
func (p *Published) SetPolicy(policy *Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	if p.document != nil {
		p.install()
	}
}

// install puts the published document into force under the policy; p.mu is
// held.
func (p *Published) install() {
	merged := *p.document
	merged.Defaults = p.policy.Defaults
	merged.Exceptions = p.policy.Exceptions
	p.current.Store(NewSnapshot(p.revision, &merged))
}
