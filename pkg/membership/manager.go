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

// Manager runs the membership over links. It implements View.
type Manager struct {
	opts    Options
	metrics *metrics
	inbox   chan event
	// table and seeds belong to the goroutine of Run.
	table   *Table
	seeds   map[ident.Host]external.HostRecord
	members atomic.Pointer[[]Member]
	self    atomic.Pointer[Record]
}

var _ View = (*Manager)(nil)

// event is one thing that the manager takes in.
type event struct {
	from   ident.Host
	gossip *Gossip
	// heard are signs of life that came by other ways.
	heard []Beat
	// ended is a host whose link has ended.
	ended ident.Host
	// hosts is a fresh host list.
	hosts []external.HostRecord
	// leave is closed once the leave was sent.
	leave chan struct{}
}

// New returns a manager that knows its seeds.
func New(opts Options) *Manager {
	opts.fill()
	m := &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer), inbox: make(chan event, inboxLimit),
		table: NewTable(opts.Self, opts.Timing, opts.Random), seeds: make(map[ident.Host]external.HostRecord),
	}
	m.takeHosts(opts.Seeds)
	m.publish()
	opts.Links.Handle(peer.KindMembership, m.handle)
	return m
}

// Members returns every known member but the daemon itself, by host.
func (m *Manager) Members() []Member { return *m.members.Load() }

// Self returns the daemon's own record. Its incarnation rises when others had
// ended it.
func (m *Manager) Self() Record { return *m.self.Load() }

// Heard takes in signs of life that came through others.
func (m *Manager) Heard(beats []Beat) { m.post(event{heard: beats}) }

// LinkChanged takes in that a link has opened or ended.
func (m *Manager) LinkChanged(host ident.Host, _ ident.Incarnation, up bool) {
	if !up {
		m.post(event{ended: host})
	}
}

// Leave tells the neighbours that the daemon stops, and returns once that is
// queued, or when ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	told := make(chan struct{})
	select {
	case m.inbox <- event{leave: told}:
	case <-ctx.Done():
		return
	}
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// handle takes a message from a peer.
func (m *Manager) handle(from ident.Host, message peer.Message) {
	gossip := new(Gossip)
	if err := peer.Decode(message.Payload, gossip); err != nil || gossip.From.Host != from {
		m.opts.Log.Warn("membership message skipped", "peer", from, "error", err)
		return
	}
	m.post(event{from: from, gossip: gossip})
}

// post queues an event and drops it where the manager is behind.
func (m *Manager) post(e event) {
	select {
	case m.inbox <- e:
	default:
		m.metrics.dropped.Inc()
	}
}

// Run keeps the membership until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loop(ctx) })
	group.Go(func() error { return m.readHosts(ctx) })
	return group.Wait()
}

// loop takes events and ticks in turn.
func (m *Manager) loop(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Timing.HeartbeatEvery)
	defer ticker.Stop()
	m.link()
	m.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.link()
			m.tick(now)
		case e := <-m.inbox:
			m.take(time.Now(), e)
		}
		m.publish()
	}
}
