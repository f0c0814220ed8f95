package peer

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/overload"
)

// Manager maintains one link to each configured peer. Of two hosts the one with
// the lower name dials. It implements Mesh.
type Manager struct {
	opts    Options
	metrics *metrics
	// handlers is only written before Run.
	handlers [kindCount]Handler
	// peerUpdates holds the newest list of peers until Run receives it.
	peerUpdates chan []Address

	mu sync.Mutex
	// links holds at most one link per host.
	links map[ident.Host]*link
}

var _ Mesh = (*Manager)(nil)

// errNoLink is returned if no link to the host is open.
var errNoLink = fault.New(fault.Unavailable, "there is no link to the host", "wait until the link is open again")

// ErrNoAuthentication is returned by New if the options have neither a secret nor
// TLS, so that anyone could open links.
var ErrNoAuthentication = fault.New(fault.Invalid, "links between daemons need authentication", "set a peer secret, or certificates for both ends")

// New returns a manager without links.
func New(opts Options) (*Manager, error) {
	if len(opts.Secret) == 0 && opts.TLS == nil {
		return nil, ErrNoAuthentication
	}
	opts.setDefaults()
	return &Manager{
		opts: opts, metrics: newMetrics(opts.Registerer),
		peerUpdates: make(chan []Address, 1), links: make(map[ident.Host]*link),
	}, nil
}

// Handle sets the handler of a kind. It must be called before Run.
func (m *Manager) Handle(kind Kind, handler Handler) { m.handlers[kind] = handler }

// SetPeers replaces the list of peers to maintain links to.
func (m *Manager) SetPeers(peers []Address) {
	for {
		select {
		case m.peerUpdates <- slices.Clone(peers):
			return
		case <-m.peerUpdates:
		}
	}
}

// Send queues a message for a peer.
func (m *Manager) Send(to ident.Host, message Message) error {
	if int(message.Kind) >= kindCount || message.Kind <= KindHello {
		return fault.New(fault.Invalid, fmt.Sprintf("messages of kind %d can't be sent", message.Kind), "report this as a bug")
	}
	if len(message.Payload) > MaxFrameBytes/2 {
		return fault.New(fault.Invalid, fmt.Sprintf("a message of kind %d with %d payload bytes exceeds the limit of %d", message.Kind, len(message.Payload), MaxFrameBytes/2), "report this as a bug")
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

// Linked returns the hosts with an open link, sorted.
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

// Run maintains the links until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := overload.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.accept(ctx, w, r) }), handshakeTimeout)
	group.Go(func() error { return m.serve(server) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error { return m.runDialers(ctx) })
	err := group.Wait()
	m.cancelAll()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// deliver passes a message to the handler of its kind. It skips kinds without a
// handler and newer versions, and messages that the handler fails on.
func (m *Manager) deliver(from ident.Host, message Message, size int) {
	if int(message.Kind) >= kindCount || message.Version > KnownVersion || m.handlers[message.Kind] == nil {
		m.metrics.skipped.Inc()
		return
	}
	m.metrics.received.WithLabelValues(message.Kind.label()).Add(float64(size))
	handle := func() { m.handlers[message.Kind](from, message) }
	if !fault.Contain(m.opts.Log, "handling a message of kind "+message.Kind.label()+" from "+string(from), handle) {
		m.metrics.skipped.Inc()
	}
}
