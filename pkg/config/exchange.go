package config

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// exchangeKind is the peer message kind that carries control state.
	exchangeKind = peer.KindConfig
	// exchangeVersion is the version of the payload format.
	exchangeVersion uint8 = 1
	// inboxLimit bounds the queue of messages received from peers.
	inboxLimit = 256
	// requestInterval is the minimum time between two requests for the same
	// revisions.
	requestInterval = 500 * time.Millisecond
)

// exchangeMessage is a message between daemons about the control state.
type exchangeMessage struct {
	// Have holds the revisions that the sender has loaded.
	Have Revisions `codec:"v"`
	// Request requests the parts that are newer than Have.
	Request bool `codec:"a,omitempty"`
	// Part, Revision and Value carry one part; Part is zero if the message
	// carries none.
	Part     Part           `codec:"p,omitempty"`
	Revision ident.Revision `codec:"r,omitempty"`
	Value    []byte         `codec:"b,omitempty"`
}

// envelope is a received message and its sender.
type envelope struct {
	from    ident.Host
	message peer.Message
}

// receive queues a peer's message. It drops the message if the queue is full:
// what it carried is requested again.
func (m *Manager) receive(from ident.Host, message peer.Message) {
	if message.Version > exchangeVersion {
		return
	}
	select {
	case m.inbox <- envelope{from: from, message: message}:
	default:
	}
}

// fetchRequest records the last request sent, so that one change is not fetched
// from several peers simultaneously.
type fetchRequest struct {
	requested Revisions
	at        time.Duration
}

// runExchange announces new revisions to the peers, answers their requests and
// requests newer revisions from them.
func (m *Manager) runExchange(ctx context.Context) error {
	if m.opts.Mesh == nil {
		return nil
	}
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	var last fetchRequest
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
			m.announce()
		case e := <-m.inbox:
			m.handle(e, &last)
		case <-ticker.C:
			m.requestFromAnyPeer(&last)
		}
	}
}

// announce sends the loaded revisions to every linked peer.
func (m *Manager) announce() {
	if m.opts.View == nil {
		return
	}
	for _, member := range m.opts.View.Members() {
		if member.Status != membership.Left {
			m.send(member.Host, exchangeMessage{Have: m.Revisions()})
		}
	}
}

// handle processes one message from a peer.
func (m *Manager) handle(e envelope, last *fetchRequest) {
	var message exchangeMessage
	if err := peer.Decode(e.message.Payload, &message); err != nil {
		m.opts.Log.Warn("malformed configuration message from a peer", "peer", e.from, "error", err)
		return
	}
	switch {
	case message.Part != 0:
		m.loadIfNewer(message.Part, message.Revision, message.Value, sourcePeer)
	case message.Request:
		m.sendNewerParts(e.from, message.Have)
	default:
		m.requestNewer(e.from, message.Have, last)
	}
}

// sendNewerParts sends the parts that are newer than what the peer has.
func (m *Manager) sendNewerParts(to ident.Host, have Revisions) {
	for _, part := range parts {
		revision, value := m.loadedValue(part)
		if revision > part.revisionIn(have) {
			m.send(to, exchangeMessage{Have: m.Revisions(), Part: part, Revision: revision, Value: value})
		}
	}
}

// requestNewer requests newer parts from a peer that has any, unless the same
// revisions were requested within requestInterval. It reports whether a request
// is outstanding.
func (m *Manager) requestNewer(from ident.Host, theirs Revisions, last *fetchRequest) bool {
	if m.knownRevisions().Covers(theirs) {
		return false
	}
	now := m.opts.Clock.Now()
	if last.requested.Covers(theirs) && now-last.at < requestInterval {
		return true
	}
	if !m.send(from, exchangeMessage{Have: m.Revisions(), Request: true}) {
		return false
	}
	*last = fetchRequest{requested: theirs, at: now}
	return true
}

// requestFromAnyPeer requests newer parts from one linked peer that has reported
// them, starting at a random peer. It makes up for lost announcements.
func (m *Manager) requestFromAnyPeer(last *fetchRequest) {
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
		if m.requestNewer(member.Host, Revisions{Config: member.Revision, Holds: member.HoldsRevision}, last) {
			return
		}
	}
}

// send sends a message to a peer and reports whether it was queued for a link.
func (m *Manager) send(to ident.Host, message exchangeMessage) bool {
	payload, err := peer.Encode(message)
	if err != nil {
		m.opts.Log.Error("encoding a configuration message failed", "error", err)
		return false
	}
	if err := m.opts.Mesh.Send(to, peer.Message{Kind: exchangeKind, Version: exchangeVersion, Payload: payload}); err != nil {
		return false
	}
	m.metrics.peerBytes.Add(float64(len(payload)))
	return true
}
