package config

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Acceptance tells when a revision is accepted and when it is in force at every
// daemon that serves.
type Acceptance struct {
	manager *Manager

	mu sync.Mutex
	// acceptedAt is when each part's newest accepted revision was first found
	// to be accepted.
	acceptedAt map[Part]acceptedRevision
}

// acceptedRevision is a revision with the time of its acceptance.
type acceptedRevision struct {
	revision ident.Revision
	at       time.Duration
}

// NewAcceptance returns the acceptance as seen from one daemon.
func NewAcceptance(manager *Manager) *Acceptance {
	return &Acceptance{manager: manager, acceptedAt: make(map[Part]acceptedRevision)}
}

// HoldsInForce reports whether every daemon that serves keeps to the holds of
// the given revision or of a later one. It does no input or output: the first
// call makes the manager raise the store's marker, so that daemons which only
// reach the store learn of the revision. Call it again while it returns false.
func (a *Acceptance) HoldsInForce(revision ident.Revision) bool {
	wanted := PartHolds.revisions(revision)
	if !a.manager.marked(wanted) {
		return false
	}
	at, accepted := a.judge(PartHolds, revision)
	return accepted && a.manager.opts.Clock.Now()-at >= a.manager.opts.Timing.InForceAfter()
}

// accepted reports whether a majority of the hosts has loaded the revision
// after the marker was raised.
func (a *Acceptance) accepted(ctx context.Context, part Part, revision ident.Revision) (bool, error) {
	if err := raiseMarker(ctx, a.manager.opts.Store, part.revisions(revision)); err != nil {
		return false, err
	}
	_, accepted := a.judge(part, revision)
	return accepted, nil
}

// judge reports whether a majority of the hosts has loaded a revision that the
// marker names, and when that was first found.
func (a *Acceptance) judge(part Part, revision ident.Revision) (time.Duration, bool) {
	if known := a.known(part); revision != 0 && known.revision >= revision {
		return known.at, true
	}
	if !a.manager.majorityLoaded(part.revisions(revision)) {
		return 0, false
	}
	now := a.manager.opts.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acceptedAt[part].revision < revision {
		a.acceptedAt[part] = acceptedRevision{revision: revision, at: now}
	}
	return a.acceptedAt[part].at, true
}

// known returns what is known to be accepted of a part.
func (a *Acceptance) known(part Part) acceptedRevision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acceptedAt[part]
}

// majorityLoaded reports whether the hosts that were lately heard from and have
// loaded the revisions are a majority. Before the first roster the daemon's own
// load is enough, since every daemon then serves by the store alone.
func (m *Manager) majorityLoaded(wanted Revisions) bool {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	facts := m.facts(now)
	m.mu.Unlock()
	if !facts.Own.Covers(wanted) {
		return false
	}
	if facts.Roster.Empty() {
		return true
	}
	var loaded []Loaded
	if facts.Loaded {
		loaded = append(loaded, Loaded{Host: facts.Self, Revisions: facts.Own})
	}
	for _, s := range facts.Statements {
		if now-s.At < m.opts.Timing.PeersMaxAge && s.Host != facts.Self {
			loaded = append(loaded, s.Loaded)
		}
	}
	return facts.Roster.Accepts(loaded, wanted)
}

// selfMember returns the daemon as the other daemons see it.
func (m *Manager) selfMember() membership.Member {
	revision, holds := m.Loaded()
	return membership.Member{
		Host: m.opts.Host, Status: membership.Alive, HeardAt: time.Now(), Revision: revision, HoldsRevision: holds,
	}
}

// selfAndPeers returns every member that is known, the daemon included.
func (m *Manager) selfAndPeers() []membership.Member {
	members := []membership.Member{m.selfMember()}
	if m.opts.View != nil {
		members = append(members, m.opts.View.Members()...)
	}
	return members
}
