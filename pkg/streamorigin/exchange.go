package streamorigin

import (
	"log/slog"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// messageVersion is the version of the message format.
const messageVersion = 1

// message requests the origins of streams or answers such a request.
type message struct {
	// Asked holds the keys of streams whose origin is requested.
	Asked []byte
	Known []Origins
	// Model or Service is that of the requested streams. Daemons of earlier releases use the model.
	Model   ident.Model
	Service ident.Service
}

// Links sends messages to the daemons with an open link to this one.
type Links interface {
	peer.Mesh
	// Linked returns the hosts with an open link.
	Linked() []ident.Host
}

// Exchange requests from linked daemons the origins of streams that are not recorded here: those of other cells,
// and those that began before this daemon started.
type Exchange struct {
	table *Table
	log   *slog.Logger

	mu    sync.Mutex
	links Links
}

// NewExchange returns an exchange without links; Attach sets them.
func NewExchange(log *slog.Logger) *Exchange { return &Exchange{log: log} }

// Attach sets the links and the table. It must be called before the links run.
func (x *Exchange) Attach(links Links, table *Table) {
	links.Handle(peer.KindStreamOrigins, x.receive)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links, x.table = links, table
}

// Ask requests the origins of the streams of a pool with the given keys.
func (x *Exchange) Ask(pool ident.Pool, keys []byte) {
	x.mu.Lock()
	links := x.links
	x.mu.Unlock()
	if links == nil {
		return
	}
	for _, host := range links.Linked() {
		x.send(links, host, &message{Asked: keys, Model: pool.Model, Service: pool.Service})
	}
}

// receive answers a question, or records an answer.
func (x *Exchange) receive(from ident.Host, received peer.Message) {
	var m message
	if received.Version > messageVersion {
		return
	}
	if err := peer.Decode(received.Payload, &m); err != nil {
		x.log.Debug("message on streams skipped", "peer", from, "error", err)
		return
	}
	x.table.learn(m.Known, false)
	if known := x.table.Known(m.Asked); len(known) > 0 {
		x.mu.Lock()
		links := x.links
		x.mu.Unlock()
		x.send(links, from, &message{Known: known})
	}
}

// send sends a message to a daemon. Without a link it is lost, and the caller who waits for
// its answer is refused.
func (x *Exchange) send(links Links, host ident.Host, m *message) {
	payload, err := peer.EncodeCompact(m)
	if err != nil {
		x.log.Error("message on streams not encoded", "error", err)
		return
	}
	_ = links.Send(host, peer.Message{Kind: peer.KindStreamOrigins, Version: messageVersion, Payload: payload})
}
