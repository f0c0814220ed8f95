package dissemination

import (
	"bytes"
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Manager runs the dissemination protocol over links.
type Manager struct {
	opts    Options
	metrics *metrics
	inbox   chan received

	mu       sync.Mutex
	node     *Node
	ledger   *Ledger
	instance Instance
	// lastValues holds the newest value of each item, so that an unchanged one
	// is not published again and a new instance can republish all.
	lastValues map[Key][]byte
	// hosts holds the other hosts that were last passed to the node.
	hosts []ident.Host
	// linked holds the hosts that had a link at the last tick.
	linked map[ident.Host]bool
}

// received is a frame with its sender.
type received struct {
	from  ident.Host
	frame *Frame
}

// New returns a manager without items and registers it with the links.
func New(opts Options) *Manager {
	opts.setDefaults()
	self := opts.Members.Self()
	instance := Instance{self.Host, self.Incarnation}
	m := &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), inbox: make(chan received, inboxLimit),
		node: NewNode(instance, Flat{}, TimingFor(1), opts.Random), ledger: NewLedger(instance), instance: instance,
		lastValues: make(map[Key][]byte), linked: make(map[ident.Host]bool),
	}
	opts.Links.Handle(peer.KindState, m.handle)
	return m
}

// handle queues a frame from a peer, or drops it if the inbox is full.
func (m *Manager) handle(from ident.Host, message peer.Message) {
	frame := new(Frame)
	if err := peer.Decode(message.Payload, frame); err != nil {
		m.opts.Log.Warn("invalid dissemination message ignored", "peer", from, "error", err)
		return
	}
	select {
	case m.inbox <- received{from, frame}:
	default:
		m.metrics.dropped.Inc()
	}
}

// Publish sets an item of this daemon. An urgent change is sent at the next
// tick.
func (m *Manager) Publish(key Key, value any, urgent bool) error {
	data, err := peer.EncodeCompact(value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(key, data, urgent)
	return nil
}

// Withdraw removes an item of this daemon.
func (m *Manager) Withdraw(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.lastValues[key]; ok {
		m.node.Publish(key, nil, false)
		delete(m.lastValues, key)
	}
}

// publish passes a changed value to the node.
func (m *Manager) publish(key Key, data []byte, urgent bool) {
	old, ok := m.lastValues[key]
	if ok && bytes.Equal(old, data) {
		return
	}
	m.lastValues[key] = data
	m.node.Publish(key, data, urgent)
}

// StoredItem is an item that a daemon holds.
type StoredItem struct {
	Instance Instance
	Name     string
	// Value is CBOR; peer.Decode reads it.
	Value []byte
	// At is when the value arrived, LastSeenAt when the newest version of its origin
	// arrived.
	At         time.Time
	LastSeenAt time.Time
	// Own is set if the item was published by this daemon's current instance.
	Own bool
}

// Items returns every item of a section, except those of instances that are dead or
// have left.
func (m *Manager) Items(section Section) []StoredItem {
	ended := make(map[Instance]bool)
	for _, member := range m.opts.Members.Members() {
		ended[Instance{member.Host, member.Incarnation}] = member.Status == membership.Dead || member.Status == membership.Left
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []StoredItem
	m.node.Each(section, func(instance Instance, name string, value []byte, at, lastSeenAt time.Time) {
		if !ended[instance] {
			found = append(found, StoredItem{instance, name, value, at, lastSeenAt, instance == m.instance})
		}
	})
	return found
}

// AddConsumption counts consumption on this daemon.
func (m *Manager) AddConsumption(workspace ident.Workspace, consumed Consumption) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Add(workspace, consumed)
}

// RemoteConsumption returns what a workspace is known to have consumed on other
// daemons, including before this one started. It never decreases.
func (m *Manager) RemoteConsumption(workspace ident.Workspace) Consumption {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Remote(workspace)
}

// Run disseminates state until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-m.inbox:
			m.receive(time.Now(), r)
		case now := <-ticker.C:
			m.tick(now)
		}
	}
}
