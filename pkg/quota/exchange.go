package quota

import (
	"log/slog"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// messageVersion is the version of the message format.
const messageVersion = 1

// Exchange sends messages to other daemons: over a direct link, or through the daemon of
// this one's cell that has a link to the receiver.
type Exchange struct {
	self ident.Host
	log  *slog.Logger

	mu       sync.RWMutex
	links    backlog.Links
	topology backlog.Topology
	receiver func(message *Message)
}

// NewExchange returns an exchange without links; Attach sets them.
func NewExchange(self ident.Host, log *slog.Logger) *Exchange {
	return &Exchange{self: self, log: log}
}

// Attach sets the links and what receives this daemon's messages. It must be called before
// the links run.
func (x *Exchange) Attach(links backlog.Links, receiver func(message *Message)) {
	links.Handle(peer.KindQuota, x.handle)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links, x.receiver = links, receiver
}

// SetTopology replaces the topology.
func (x *Exchange) SetTopology(topology backlog.Topology) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.topology = topology
}

// Send sends a message, and reports false if there is no link towards the receiver.
func (x *Exchange) Send(message *Message) bool {
	payload, err := peer.EncodeCompact(message)
	if err != nil {
		x.log.Error("quota message not encoded", "error", err)
		return false
	}
	x.mu.RLock()
	links, topology := x.links, x.topology
	x.mu.RUnlock()
	if links == nil {
		return false
	}
	if sendTo(links, message.To, payload) {
		return true
	}
	relay, ok := topology.RelayTo(x.self, message.To)
	return ok && sendTo(links, relay, payload)
}

// sendTo sends an encoded message to a daemon, and reports false if there is no link.
func sendTo(links backlog.Links, host ident.Host, payload []byte) bool {
	return links.Send(host, peer.Message{Kind: peer.KindQuota, Version: messageVersion, Payload: payload}) == nil
}

// handle passes a message to the receiver, or on to the daemon that it is for.
func (x *Exchange) handle(from ident.Host, received peer.Message) {
	var message Message
	if received.Version > messageVersion {
		return
	}
	if err := peer.Decode(received.Payload, &message); err != nil {
		x.log.Debug("quota message skipped", "peer", from, "error", err)
		return
	}
	x.mu.RLock()
	links, receiver := x.links, x.receiver
	x.mu.RUnlock()
	if message.To == x.self {
		receiver(&message)
		return
	}
	// A message passes through one daemon at most, so that none circulates.
	_ = sendTo(links, message.To, received.Payload)
}
