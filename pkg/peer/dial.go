package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// keepDialing runs one dialer for each wanted peer with a higher name.
func (m *Manager) keepDialing(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	dialers := make(map[Address]context.CancelFunc)
	for {
		var wanted []Address
		select {
		case <-ctx.Done():
			return ctx.Err()
		case wanted = <-m.wanted:
		}
		keep := make(map[Address]bool, len(wanted))
		for _, peer := range wanted {
			keep[peer] = peer.Host > m.opts.Host
			if !keep[peer] || dialers[peer] != nil {
				continue
			}
			dialerCtx, cancel := context.WithCancel(ctx)
			dialers[peer] = cancel
			group.Go(func() { m.dialer(dialerCtx, peer) })
		}
		for peer, cancel := range dialers {
			if !keep[peer] {
				cancel()
				delete(dialers, peer)
			}
		}
	}
}

// dialer keeps a link to one peer until ctx ends.
func (m *Manager) dialer(ctx context.Context, peer Address) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = redialMin
	pause.MaxInterval = redialMax
	for ctx.Err() == nil {
		err := m.dial(ctx, peer, pause.Reset)
		result := "linked"
		if err != nil {
			result = "failed"
			m.opts.Log.Debug("dial failed", "peer", peer.Host, "error", err)
		}
		m.metrics.dials.WithLabelValues(result).Inc()
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// dial opens one link and carries it until it ends. Linked is called once the
// peer has proved itself.
func (m *Manager) dial(ctx context.Context, peer Address, linked func()) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	url := "ws://" + peer.Address + path
	if m.opts.TLS != nil {
		config, err := m.opts.TLS.Client()
		if err != nil {
			return err
		}
		transport.TLSClientConfig = config
		url = "wss://" + peer.Address + path
	}
	opening, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(opening, url, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}}) //nolint:bodyclose // The library closes the body.
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(MaxFrameBytes)
	theirs, err := dialHandshake(opening, conn, &m.opts)
	if err != nil {
		return err
	}
	if theirs.Host != peer.Host {
		return fault.New(fault.Conflict, "another host answers at the peer's address", "correct the peer's address")
	}
	linked()
	m.carry(ctx, conn, theirs)
	return nil
}
