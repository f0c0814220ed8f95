package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// runDialers runs one dialer for each configured peer whose host name is higher
// than this host's. It applies each list that SetPeers passes until ctx ends.
func (m *Manager) runDialers(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	dialers := make(map[Address]context.CancelFunc)
	for {
		var peers []Address
		select {
		case <-ctx.Done():
			return ctx.Err()
		case peers = <-m.peerUpdates:
		}
		keep := make(map[Address]bool, len(peers))
		for _, peer := range peers {
			keep[peer] = peer.Host > m.opts.Host
			if !keep[peer] || dialers[peer] != nil {
				continue
			}
			dialerCtx, cancel := context.WithCancel(ctx)
			dialers[peer] = cancel
			group.Go(func() { m.dialLoop(dialerCtx, peer) })
		}
		for peer, cancel := range dialers {
			if !keep[peer] {
				cancel()
				delete(dialers, peer)
			}
		}
	}
}

// dialLoop dials one peer again after each failure or end of its link, until ctx
// ends.
func (m *Manager) dialLoop(ctx context.Context, peer Address) {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval = redialMin
	redialBackoff.MaxInterval = redialMax
	for ctx.Err() == nil {
		err := m.dial(ctx, peer, redialBackoff.Reset)
		result := "linked"
		if err != nil {
			result = "failed"
			m.opts.Log.Debug("dial failed", "peer", peer.Host, "error", err)
		}
		m.metrics.dials.WithLabelValues(result).Inc()
		select {
		case <-ctx.Done():
		case <-time.After(redialBackoff.NextBackOff()):
		}
	}
}

// dial opens one link and runs it until it ends. onLinked is called once the peer
// is authenticated.
func (m *Manager) dial(ctx context.Context, peer Address, onLinked func()) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	url := "ws://" + peer.Address + linkPath
	if m.opts.TLS != nil {
		config, err := m.opts.TLS.Client()
		if err != nil {
			return err
		}
		transport.TLSClientConfig = config
		url = "wss://" + peer.Address + linkPath
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(handshakeCtx, url, &websocket.DialOptions{HTTPClient: &http.Client{Transport: responsecheck.New(transport)}}) //nolint:bodyclose // The library closes the body.
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(MaxFrameBytes)
	remote, err := dialHandshake(handshakeCtx, conn, &m.opts)
	if err != nil {
		return err
	}
	if remote.Host != peer.Host {
		return fault.New(fault.Conflict, fmt.Sprintf("address %s of peer %q belongs to host %q", peer.Address, peer.Host, remote.Host), "correct the peer's address")
	}
	onLinked()
	m.runLink(ctx, conn, remote)
	return nil
}
