package membership

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Manager runs the membership protocol over links. It implements View.
type Manager struct {
	opts    Options
	metrics *metrics
	inbox   chan event
	// table and seeds are used by the goroutine of Run only.
	table   *Table
	seeds   map[ident.Host]external.HostRecord
	members atomic.Pointer[[]Member]
	self    atomic.Pointer[Record]
}

var _ View = (*Manager)(nil)

// event is an input of the manager's loop.
type event struct {
	from   ident.Host
	gossip *Gossip
	// heartbeats are heartbeats that arrived through other daemons.
	heartbeats []Heartbeat
	// endedLink is a host whose link has ended.
	endedLink ident.Host
	// hosts is a fresh host list.
	hosts []external.HostRecord
	// leave requests that the daemon announce its stop; it is closed once the
	// messages are queued.
	leave chan struct{}
}

// New returns a manager with the seeds of its options and registers it with the
// links.
func New(opts Options) *Manager {
	opts.setDefaults()
	m := &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), inbox: make(chan event, inboxLimit),
		table: NewTable(opts.Self, opts.Timing, opts.Random), seeds: make(map[ident.Host]external.HostRecord),
	}
	m.replaceSeeds(opts.Seeds)
	m.publishSnapshot()
	opts.Links.Handle(peer.KindMembership, m.handle)
	return m
}

// Members returns every known member but the daemon itself, sorted by host.
func (m *Manager) Members() []Member { return *m.members.Load() }

// Self returns the daemon's own record. Its incarnation rises when others have
// ended it.
func (m *Manager) Self() Record { return *m.self.Load() }

// RecordHeartbeats records heartbeats that arrived through other daemons.
func (m *Manager) RecordHeartbeats(heartbeats []Heartbeat) { m.enqueue(event{heartbeats: heartbeats}) }

// LinkChanged records that a link has opened or ended.
func (m *Manager) LinkChanged(host ident.Host, _ ident.Incarnation, up bool) {
	if !up {
		m.enqueue(event{endedLink: host})
	}
}

// Leave announces to the neighbors that the daemon stops. It returns once the
// messages are queued, or when ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	queued := make(chan struct{})
	select {
	case m.inbox <- event{leave: queued}:
	case <-ctx.Done():
		return
	}
	select {
	case <-queued:
	case <-ctx.Done():
	}
}

// handle decodes a message from a peer and queues it.
func (m *Manager) handle(from ident.Host, message peer.Message) {
	gossip := new(Gossip)
	if err := peer.Decode(message.Payload, gossip); err != nil || gossip.From.Host != from {
		m.opts.Log.Warn("invalid membership message ignored", "peer", from, "error", err)
		return
	}
	m.enqueue(event{from: from, gossip: gossip})
}

// enqueue queues an event, or drops it if the inbox is full.
func (m *Manager) enqueue(e event) {
	select {
	case m.inbox <- e:
	default:
		m.metrics.dropped.Inc()
	}
}

// Run runs the protocol until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loop(ctx) })
	group.Go(func() error { return m.readHosts(ctx) })
	return group.Wait()
}

// loop processes events and ticks.
func (m *Manager) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Timing.HeartbeatInterval)
	defer ticker.Stop()
	m.updateLinks()
	m.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.updateLinks()
			m.tick(now)
		case e := <-m.inbox:
			m.handleEvent(time.Now(), e)
		}
		m.publishSnapshot()
	}
}
