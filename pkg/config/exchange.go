package config

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// exchangeKind is the kind of the messages that carry control state.
	exchangeKind = peer.KindConfig
	// exchangeVersion is the payloads' format.
	exchangeVersion uint8 = 1
	// inboxLimit bounds the peers' messages that wait.
	inboxLimit = 256
	// askPause is the least time between two questions for the same revisions.
	askPause = 500 * time.Millisecond
)

// exchange is a message between daemons on the control state.
type exchange struct {
	// Have is what the sender has loaded.
	Have Revisions `codec:"v"`
	// Ask asks for the parts that the sender has not.
	Ask bool `codec:"a,omitempty"`
	// Part, Revision and Value carry one part; Part is zero where none comes.
	Part     Part           `codec:"p,omitempty"`
	Revision ident.Revision `codec:"r,omitempty"`
	Value    []byte         `codec:"b,omitempty"`
}

// envelope is a message with its sender.
type envelope struct {
	from    ident.Host
	message peer.Message
}

// receive queues a peer's message, and drops it where too many wait: the sender
// is asked again.
func (m *Manager) receive(from ident.Host, message peer.Message) {
	if message.Version > exchangeVersion {
		return
	}
	select {
	case m.inbox <- envelope{from: from, message: message}:
	default:
	}
}

// asking remembers the last question, so that one change is fetched once.
type asking struct {
	wanted Revisions
	at     time.Duration
}

// runExchange tells peers of new revisions, answers their questions and asks
// those that have something newer.
func (m *Manager) runExchange(ctx context.Context) error {
	if m.opts.Mesh == nil {
		return nil
	}
	ticker := time.NewTicker(askPause)
	defer ticker.Stop()
	var last asking
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
			m.announce()
		case e := <-m.inbox:
			m.handle(e, &last)
		case <-ticker.C:
			m.askNewer(&last)
		}
	}
}

// announce tells every linked peer what is loaded.
func (m *Manager) announce() {
	if m.opts.View == nil {
		return
	}
	for _, member := range m.opts.View.Members() {
		if member.Status != membership.Left {
			m.send(member.Host, exchange{Have: m.Revisions()})
		}
	}
}

// handle reads one peer's message.
func (m *Manager) handle(e envelope, last *asking) {
	var message exchange
	if err := peer.Decode(e.message.Payload, &message); err != nil {
		m.opts.Log.Warn("a peer's message on the configuration is malformed", "peer", e.from, "error", err)
		return
	}
	switch {
	case message.Part != 0:
		m.take(message.Part, message.Revision, message.Value, fromPeer)
	case message.Ask:
		m.answer(e.from, message.Have)
	default:
		m.ask(e.from, message.Have, last)
	}
}

// answer sends the parts that the peer has not.
func (m *Manager) answer(to ident.Host, have Revisions) {
	for _, part := range parts {
		revision, value := m.value(part)
		if revision > part.of(have) {
			m.send(to, exchange{Have: m.Revisions(), Part: part, Revision: revision, Value: value})
		}
	}
}

// ask asks a peer that has something newer, unless the same was asked just now.
func (m *Manager) ask(from ident.Host, theirs Revisions, last *asking) bool {
	if m.known().Covers(theirs) {
		return false
	}
	now := m.opts.Clock.Now()
	if last.wanted.Covers(theirs) && now-last.at < askPause {
		return true
	}
	if !m.send(from, exchange{Have: m.Revisions(), Ask: true}) {
		return false
	}
	*last = asking{wanted: theirs, at: now}
	return true
}

// askNewer asks some linked peer that is known to have something newer, for
// announcements that were lost.
func (m *Manager) askNewer(last *asking) {
	if m.opts.View == nil {
		return
	}
	members := m.opts.View.Members()
	if len(members) == 0 {
		return
	}
	m.mu.Lock()
	start := m.opts.Random.IntN(len(members))
	m.mu.Unlock()
	for i := range members {
		member := &members[(start+i)%len(members)]
		if m.ask(member.Host, Revisions{Config: member.Revision, Holds: member.HoldsRevision}, last) {
			return
		}
	}
}

// send sends a message and reports whether there is a link.
func (m *Manager) send(to ident.Host, message exchange) bool {
	payload, err := peer.Encode(message)
	if err != nil {
		m.opts.Log.Error("a message on the configuration was not encoded", "error", err)
		return false
	}
	if err := m.opts.Mesh.Send(to, peer.Message{Kind: exchangeKind, Version: exchangeVersion, Payload: payload}); err != nil {
		return false
	}
	m.metrics.peerBytes.Add(float64(len(payload)))
	return true
}
