package config

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
)

// Acceptance tracks when a revision is accepted, that is loaded by a majority of
// the hosts, and when it has taken effect on every serving daemon.
type Acceptance struct {
	manager *Manager

	mu sync.Mutex
	// latest holds each part's newest accepted revision and when this daemon
	// first found it accepted.
	latest map[Part]acceptedRevision
}

// acceptedRevision is a revision and the time of its acceptance.
type acceptedRevision struct {
	revision ident.Revision
	at       time.Duration
}

// NewAcceptance returns an Acceptance based on what the manager's daemon
// observes.
func NewAcceptance(manager *Manager) *Acceptance {
	return &Acceptance{manager: manager, latest: make(map[Part]acceptedRevision)}
}

// HoldsInForce reports whether every serving daemon applies the holds of the
// given revision or of a later one. It does no I/O: the first call makes the
// manager advance the marker in the store, so that daemons which reach only the
// store find the revision there. Callers poll it until it returns true.
func (a *Acceptance) HoldsInForce(revision ident.Revision) bool {
	wanted := PartHolds.asRevisions(revision)
	if !a.manager.requestMarker(wanted) {
		return false
	}
	at, accepted := a.acceptanceTime(PartHolds, revision)
	return accepted && a.manager.opts.Clock.Now()-at >= a.manager.opts.Timing.PropagationBound()
}

// accepted advances the marker to the revision and reports whether a majority of
// the hosts has loaded it.
func (a *Acceptance) accepted(ctx context.Context, part Part, revision ident.Revision) (bool, error) {
	if err := advanceMarker(ctx, a.manager.opts.Store, part.asRevisions(revision)); err != nil {
		return false, err
	}
	_, accepted := a.acceptanceTime(part, revision)
	return accepted, nil
}

// acceptanceTime reports whether a majority of the hosts has loaded a revision,
// and when this daemon first found that. The marker must already name the
// revision.
func (a *Acceptance) acceptanceTime(part Part, revision ident.Revision) (time.Duration, bool) {
	if known := a.latestAccepted(part); revision != 0 && known.revision >= revision {
		return known.at, true
	}
	if !a.manager.majorityLoaded(part.asRevisions(revision)) {
		return 0, false
	}
	now := a.manager.opts.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest[part].revision < revision {
		a.latest[part] = acceptedRevision{revision: revision, at: now}
	}
	return a.latest[part].at, true
}

// latestAccepted returns the part's newest revision that was found accepted.
func (a *Acceptance) latestAccepted(part Part) acceptedRevision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latest[part]
}

// majorityLoaded reports whether a majority of the hosts has loaded the
// revisions. It counts peers with a report within PeersMaxAge, and this host once
// its control state has been fresh. Before the first roster exists the daemon's
// own load is enough, since every daemon then serves only on reads of the store.
func (m *Manager) majorityLoaded(wanted Revisions) bool {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	input := m.freshnessInput(now)
	m.mu.Unlock()
	if !input.Own.Covers(wanted) {
		return false
	}
	if input.Roster.Empty() {
		return true
	}
	var loaded []HostRevisions
	if input.WasFresh {
		loaded = append(loaded, HostRevisions{Host: input.Self, Revisions: input.Own})
	}
	for _, r := range input.Reports {
		if now-r.At < m.opts.Timing.PeersMaxAge && r.Host != input.Self {
			loaded = append(loaded, r.HostRevisions)
		}
	}
	return input.Roster.Accepts(loaded, wanted)
}

// selfMember returns this daemon's member entry as the other daemons see it.
func (m *Manager) selfMember() membership.Member {
	revision, holds := m.Loaded()
	return membership.Member{
		Host: m.opts.Host, Status: membership.Alive, LastSeenAt: time.Now(), Revision: revision, HoldsRevision: holds,
	}
}

// selfAndPeers returns all known members, including this daemon.
func (m *Manager) selfAndPeers() []membership.Member {
	members := []membership.Member{m.selfMember()}
	if m.opts.View != nil {
		members = append(members, m.opts.View.Members()...)
	}
	return members
}
