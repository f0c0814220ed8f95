package quota

import (
	"maps"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Options configure a Table.
type Options struct {
	// Self is this daemon's host, and Epoch identifies its process.
	Self  ident.Host
	Epoch uint64
	// Hosts returns the hosts of the other daemons that are present.
	Hosts func() []ident.Host
	// LimitOf returns the limit of a workspace, or false if it has none.
	LimitOf func(workspace ident.Workspace) (Limit, bool)
	// Bounds returns the tolerance of the limits.
	Bounds func() Bounds
	// Now returns the time by a clock that runs while the host is suspended.
	Now func() time.Time
	// SettleTime is the time within which all daemons see a change of the hosts.
	SettleTime time.Duration
	// Restarted reports whether an earlier process of this host was present at the start,
	// so that the other daemons' view of the hosts has not changed.
	Restarted func() bool
	// InTouch reports whether what Hosts returns is recent enough for this host to grant
	// units: without it, other daemons may have chosen another keeper.
	InTouch func() bool
	// Send sends a message to another daemon, and reports false if it can't be reached.
	Send func(message *Message) bool
}

// Table holds the units of all workspaces at one daemon, and grants those of the
// workspaces whose keeper it is. It is safe for concurrent use.
type Table struct {
	opts      Options
	startedAt time.Time

	mu      sync.Mutex
	hosts   hostView
	keeper  *keeper
	holders map[ident.Workspace]*holder
	nextID  uint64
	// hostsAt is when the hosts were last read, sweptAt when unused state was dropped.
	hostsAt, sweptAt time.Time
	// outgoing are messages that are sent when mu is released.
	outgoing []*Message
}

// New returns a table without units.
func New(opts Options) *Table {
	now := opts.Now()
	t := &Table{
		opts: opts, startedAt: now, keeper: newKeeper(opts.Epoch), holders: make(map[ident.Workspace]*holder),
		hosts: hostView{self: opts.Self, settleTime: opts.SettleTime}, hostsAt: now, sweptAt: now,
	}
	t.hosts.update(opts.Hosts(), now)
	return t
}

// Claim claims units for one request of a workspace with a limit. The claim may be
// decided on return; otherwise it is decided within claimTimeout, if Tick is called.
func (t *Table) Claim(workspace ident.Workspace, limit Limit, cost float64) *Claim {
	defer t.send()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	h := t.holder(workspace, now)
	h.setLimit(limit)
	h.usedAt = now
	h.expire(now)
	h.demand.add(cost, now)
	c := &Claim{cost: cost, since: now}
	if h.take(cost, t.credit()) {
		c.state = Admitted
		if h.debt > 0 || h.held() < h.demand.rate*t.lease().Seconds()/4 {
			t.request(h, now)
		}
		return c
	}
	h.waiting = append(h.waiting, c)
	t.advance(h, now)
	if c.state == Waiting {
		c.decided = make(chan struct{})
	}
	return c
}

// Cancel withdraws a claim, and returns its units if it was admitted.
func (t *Table) Cancel(workspace ident.Workspace, c *Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holder(workspace, t.opts.Now())
	if c.state == Admitted {
		h.refund(c.cost)
		return
	}
	h.remove(c)
}

// StateOf returns the state of a claim, and the reason if it is refused.
func (t *Table) StateOf(c *Claim) (State, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.state, c.refusal
}

// Refund returns the units of an admitted request that no target has run.
func (t *Table) Refund(workspace ident.Workspace, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder(workspace, t.opts.Now()).refund(cost)
}

// Charge uses units without a claim, for a request that targets have run again.
func (t *Table) Charge(workspace ident.Workspace, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder(workspace, t.opts.Now()).charge(cost)
}

// Receive processes a message from another daemon.
func (t *Table) Receive(message *Message) {
	defer t.send()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	reply := &Message{From: t.opts.Self, To: message.From}
	for i := range message.Needs {
		if grant := t.grant(&message.Needs[i], now); grant.ID != 0 {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	if len(reply.Grants) > 0 {
		t.outgoing = append(t.outgoing, reply)
	}
	for i := range message.Grants {
		t.receiveGrant(message.From, &message.Grants[i], now)
	}
}

const (
	// claimTimeout is how long a request waits for units.
	claimTimeout = 350 * time.Millisecond
	// hostsInterval is the time between two readings of the hosts.
	hostsInterval = 500 * time.Millisecond
	// holderRetention is how long the state of a workspace without requests is kept.
	holderRetention = time.Minute
)

// Tick advances what depends on time. It is called at short intervals.
func (t *Table) Tick() {
	defer t.send()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if now.Sub(t.hostsAt) >= hostsInterval {
		t.hostsAt = now
		t.hosts.update(t.opts.Hosts(), now)
	}
	for _, h := range t.holders {
		t.updateKeepers(h)
		h.expire(now)
		h.demand.advance(now)
		t.advance(h, now)
		if h.debt > 0 {
			t.request(h, now)
		}
		t.returnUnits(h)
	}
	if now.Sub(t.sweptAt) < holderRetention {
		return
	}
	t.sweptAt = now
	t.keeper.sweep(now)
	maps.DeleteFunc(t.holders, func(_ ident.Workspace, h *holder) bool {
		return len(h.waiting) == 0 && now.Sub(h.usedAt) > holderRetention
	})
}

// lease returns how long granted units may be used.
func (t *Table) lease() time.Duration { return t.opts.Bounds().lease() }

// credit returns the units that this host may use before a keeper has granted them.
func (t *Table) credit() float64 { return t.opts.Bounds().credit(t.hosts.count()) }

// holder returns the holder of a workspace with its present keepers.
func (t *Table) holder(workspace ident.Workspace, now time.Time) *holder {
	h := t.holders[workspace]
	if h == nil {
		h = &holder{workspace: workspace, usedAt: now, hostsVersion: -1}
		t.holders[workspace] = h
	}
	t.updateKeepers(h)
	return h
}

// updateKeepers replaces the keepers of a holder if the hosts have changed. What is known
// of a keeper that remains is kept.
func (t *Table) updateKeepers(h *holder) {
	if h.hostsVersion == t.hosts.version {
		return
	}
	h.hostsVersion = t.hosts.version
	before := h.keepers
	h.keepers = nil
	for _, host := range t.hosts.present.keepersOf(h.workspace) {
		link := &keeperLink{host: host}
		for _, known := range before {
			if known.host == host {
				link = known
			}
		}
		h.keepers = append(h.keepers, link)
	}
}

// send sends the outgoing messages. The caller must not hold mu.
func (t *Table) send() {
	for messages := t.takeOutgoing(); len(messages) > 0; messages = t.takeOutgoing() {
		for _, message := range messages {
			if !t.opts.Send(message) {
				t.unreachable(message)
			}
		}
	}
}

// takeOutgoing returns the outgoing messages and removes them.
func (t *Table) takeOutgoing() []*Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	messages := t.outgoing
	t.outgoing = nil
	return messages
}
