package peer

import (
	"context"

	"github.com/coder/websocket"

	"github.com/go-faster/errors"
)

// carry registers a link, runs it and returns when it has ended.
func (m *Manager) carry(ctx context.Context, conn *websocket.Conn, theirs hello) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{
		manager: m, conn: conn, host: theirs.Host, incarnation: theirs.Incarnation,
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
	m.metrics.ended.WithLabelValues(reasonOf(err)).Inc()
	m.opts.Log.Debug("link ended", "peer", l.host, "error", err)
}

// register makes the link the host's only one. It refuses a link of an older
// process than the one that is linked.
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

// unregister forgets the link and reports whether it was the host's present
// one.
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

// endAll ends every link.
func (m *Manager) endAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.cancel()
	}
}

// reasonOf names the reason of a link's end for the metrics.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, errSilent):
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
