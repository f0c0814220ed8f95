package peer

import (
	"context"

	"github.com/coder/websocket"

	"github.com/go-faster/errors"
)

// runLink registers a link, runs it and returns when it has ended. It closes the
// connection if a newer process of the same host has a link.
func (m *Manager) runLink(ctx context.Context, conn *websocket.Conn, remote hello) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		manager: m, conn: conn, host: remote.Host, incarnation: remote.Incarnation,
		out: newOutbox(m.opts.QueueLimit), cancel: cancel,
	}
	if !m.register(l) {
		_ = conn.Close(websocket.StatusPolicyViolation, "a newer process of this host is linked")
		return
	}
	m.opts.LinkChanged(l.host, l.incarnation, true)
	err := l.run(ctx)
	if m.unregister(l) {
		m.opts.LinkChanged(l.host, l.incarnation, false)
	}
	m.metrics.ended.WithLabelValues(endReason(err)).Inc()
	m.opts.Log.Debug("link ended", "peer", l.host, "error", err)
}

// register makes the link the host's only one. It refuses the link if the host has
// a link of a newer process.
func (m *Manager) register(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[l.host]
	if old != nil && old.incarnation > l.incarnation {
		return false
	}
	if old != nil {
		old.cancel()
	}
	m.links[l.host] = l
	m.metrics.links.Set(float64(len(m.links)))
	return true
}

// unregister removes the link and reports whether it was the host's current one.
func (m *Manager) unregister(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.host] != l {
		return false
	}
	delete(m.links, l.host)
	m.metrics.links.Set(float64(len(m.links)))
	return true
}

// cancelAll cancels every link.
func (m *Manager) cancelAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.cancel()
	}
}

// endReason returns the metric label for the reason why a link ended.
func endReason(err error) string {
	switch {
	case errors.Is(err, errPingTimeout):
		return "silent"
	case errors.Is(err, errMalformed):
		return "malformed"
	case errors.Is(err, websocket.ErrMessageTooBig):
		return "oversized"
	case errors.Is(err, context.Canceled):
		return "stopped"
	}
	return "broken"
}
