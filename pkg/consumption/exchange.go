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
	Consume(account dissemination.Account, amount uint64)
	// Elsewhere returns what an account has consumed on other daemons.
	Elsewhere(account dissemination.Account) uint64
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
	near    Near

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

// Near reports whether so many running requests at one daemon are near the
// workspace's limit on concurrency. Only those are told of, which bounds the
// bytes.
type Near func(workspace ident.Workspace, running int) bool

// New returns an exchange without running requests.
func New(spread Spread, members membership.View, near Near) *Exchange {
	return &Exchange{spread: spread, members: members, near: near, running: make(map[ident.Workspace]int)}
}

// begin counts an admitted request.
func (e *Exchange) begin(workspace ident.Workspace) {
	e.spread.Consume(dissemination.Account{Workspace: workspace, Unit: dissemination.Requests}, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[workspace]++
}

// finish counts the tokens of a request that has ended.
func (e *Exchange) finish(workspace ident.Workspace, tokens uint64) {
	e.spread.Consume(dissemination.Account{Workspace: workspace, Unit: dissemination.Tokens}, tokens)
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
	return admission.Consumption{
		Requests: e.spread.Elsewhere(dissemination.Account{Workspace: workspace, Unit: dissemination.Requests}),
		Tokens:   e.spread.Elsewhere(dissemination.Account{Workspace: workspace, Unit: dissemination.Tokens}),
		Running:  e.others[workspace],
		Age:      now.Sub(e.oldest),
	}
}

// Daemons returns how many other daemons are alive.
func (e *Exchange) Daemons() int { return len(membership.AliveHosts(e.members.Members())) }

// refresh publishes what runs here and reads what runs elsewhere.
func (e *Exchange) refresh(now time.Time) {
	told := maps.Clone(e.running)
	maps.DeleteFunc(told, func(workspace ident.Workspace, running int) bool { return !e.near(workspace, running) })
	if !maps.Equal(told, e.published) {
		e.published = told
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
