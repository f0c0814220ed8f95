package consumption

import (
	"maps"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Spread is what an Exchange needs of the dissemination;
// dissemination.Manager implements it.
type Spread interface {
	// Consume counts consumption on this daemon.
	Consume(workspace ident.Workspace, use dissemination.Use)
	// Elsewhere returns what a workspace has consumed on other daemons.
	Elsewhere(workspace ident.Workspace) dissemination.Use
	// Publish sets an item of this daemon's.
	Publish(key dissemination.Key, value any, urgent bool) error
	// Items returns every item of a section.
	Items(section dissemination.Section) []dissemination.Found
}

// runningItem is the one item that holds a daemon's running requests.
var runningItem = dissemination.Key{Section: dissemination.SectionRunning}

// readEvery is the time between reads of what runs elsewhere.
const readEvery = 500 * time.Millisecond

// Exchange tells what workspaces use elsewhere, and publishes what they use
// here. It implements admission.Elsewhere.
type Exchange struct {
	spread  Spread
	members membership.View

	mu sync.Mutex
	// running counts this daemon's running requests, published what the others
	// were told of them.
	running   map[ident.Workspace]int
	published map[ident.Workspace]int
	// others is what ran elsewhere at readAt, and oldest when the oldest part
	// of it was heard.
	others map[ident.Workspace]int
	readAt time.Time
	oldest time.Time
}

var _ admission.Elsewhere = (*Exchange)(nil)

// New returns an exchange without running requests.
func New(spread Spread, members membership.View) *Exchange {
	return &Exchange{spread: spread, members: members, running: make(map[ident.Workspace]int)}
}

// begin counts an admitted request.
func (e *Exchange) begin(workspace ident.Workspace) {
	e.spread.Consume(workspace, dissemination.Use{Requests: 1})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[workspace]++
}

// finish counts the tokens of a request that has ended.
func (e *Exchange) finish(workspace ident.Workspace, tokens uint64) {
	e.spread.Consume(workspace, dissemination.Use{Tokens: tokens})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[workspace]--
	if e.running[workspace] <= 0 {
		delete(e.running, workspace)
	}
}

// Consumption returns what the workspace used at the other daemons.
func (e *Exchange) Consumption(workspace ident.Workspace) admission.Consumption {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.readAt) >= readEvery {
		e.refresh(now)
	}
	use := e.spread.Elsewhere(workspace)
	return admission.Consumption{
		Requests: use.Requests, Tokens: use.Tokens, Running: e.others[workspace], Age: now.Sub(e.oldest),
	}
}

// Daemons returns how many other daemons are alive.
func (e *Exchange) Daemons() int { return len(membership.AliveHosts(e.members.Members())) }

// refresh publishes what runs here and reads what runs elsewhere.
func (e *Exchange) refresh(now time.Time) {
	if !maps.Equal(e.running, e.published) {
		e.published = maps.Clone(e.running)
		// A map of names and numbers always encodes.
		_ = e.spread.Publish(runningItem, e.published, false)
	}
	e.readAt, e.oldest = now, now
	e.others = make(map[ident.Workspace]int)
	for _, item := range e.spread.Items(dissemination.SectionRunning) {
		var running map[ident.Workspace]int
		if item.Own || peer.Decode(item.Value, &running) != nil {
			continue
		}
		for workspace, count := range running {
			e.others[workspace] += count
		}
		if item.HeardAt.Before(e.oldest) {
			e.oldest = item.HeardAt
		}
	}
}
