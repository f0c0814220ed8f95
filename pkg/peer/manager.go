package peer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Manager keeps one link to each wanted peer. Of two hosts the one with the
// lower name dials. It implements Mesh.
type Manager struct {
	opts    Options
	metrics *metrics
	// handlers is written before Run alone.
	handlers [kinds]Handler
	// wanted holds the newest list of peers until Run takes it.
	wanted chan []Address

	mu sync.Mutex
	// links holds at most one link a host.
	links map[ident.Host]*link
}

var _ Mesh = (*Manager)(nil)

// errNoLink says that no link to the host is open.
var errNoLink = fault.New(fault.Unavailable, "there is no link to the host", "wait until the link is open again")

// ErrNoProof says that the options leave the links open to anyone.
var ErrNoProof = fault.New(fault.Invalid, "links need a proof of the fleet", "set a peer secret, or certificates for both ends")

// New returns a manager without links.
func New(opts Options) (*Manager, error) {
	if len(opts.Secret) == 0 && opts.TLS == nil {
		return nil, ErrNoProof
	}
	opts.fill()
	return &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer),
		wanted: make(chan []Address, 1), links: make(map[ident.Host]*link),
	}, nil
}

// Handle sets the handler of a kind. It is called before Run.
func (m *Manager) Handle(kind Kind, handler Handler) { m.handlers[kind] = handler }

// SetPeers replaces the list of peers to keep links to.
func (m *Manager) SetPeers(peers []Address) {
	for {
		select {
		case m.wanted <- slices.Clone(peers):
			return
		case <-m.wanted:
		}
	}
}

// Send queues a message for a peer.
func (m *Manager) Send(to ident.Host, message Message) error {
	if int(message.Kind) >= kinds || message.Kind <= KindHello {
		return fault.New(fault.Invalid, "the kind can't be sent", "send one of the kinds after hello")
	}
	if len(message.Payload) > MaxFrameBytes/2 {
		return fault.New(fault.Invalid, "a message is too large for a link", "send it in parts")
	}
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return errNoLink
	}
	if l.out.push(message) {
		m.metrics.dropped.WithLabelValues(message.Kind.label()).Inc()
	}
	return nil
}

// Linked returns the hosts with an open link, in order.
func (m *Manager) Linked() []ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]ident.Host, 0, len(m.links))
	for host := range m.links {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, cmp.Compare)
	return hosts
}

// Run keeps the links until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.accept(ctx, w, r) }),
		ReadHeaderTimeout: handshakeTimeout, ErrorLog: nil,
	}
	group.Go(func() error { return m.serve(server) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error { return m.keepDialing(ctx) })
	err := group.Wait()
	m.endAll()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// deliver hands a message to its handler and skips what isn't known.
func (m *Manager) deliver(from ident.Host, message Message, size int) {
	if int(message.Kind) >= kinds || message.Version > KnownVersion || m.handlers[message.Kind] == nil {
		m.metrics.skipped.Inc()
		return
	}
	m.metrics.received.WithLabelValues(message.Kind.label()).Add(float64(size))
	m.handlers[message.Kind](from, message)
}
