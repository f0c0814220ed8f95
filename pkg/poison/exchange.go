package poison

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// messageVersion is the version of the message format.
	messageVersion = 1
	// linkCheckInterval is the time between two checks for new links.
	linkCheckInterval = 100 * time.Millisecond
)

// Exchange sends evidence over the links between daemons, as backlog.Topology
// describes it: to the neighbors, and from each of them to its sinks.
type Exchange struct {
	receive func(e *Evidence) Evidence
	// onUnlinked is called with evidence that a daemon could not be sent.
	onUnlinked func(e *Evidence)
	log        *slog.Logger

	mu       sync.Mutex
	links    backlog.Links
	topology backlog.Topology
}

// NewExchange returns an exchange without links; Attach sets them. receive adds
// received evidence and returns the part that was new. onUnlinked is called with
// evidence that at least one daemon could not be sent.
func NewExchange(receive func(e *Evidence) Evidence, onUnlinked func(e *Evidence), log *slog.Logger) *Exchange {
	return &Exchange{receive: receive, onUnlinked: onUnlinked, log: log}
}

// Attach sets the links. It must be called before the links run.
func (x *Exchange) Attach(links backlog.Links) {
	links.Handle(peer.KindCrashes, x.handle)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.links = links
}

// SetTopology replaces the topology.
func (x *Exchange) SetTopology(topology backlog.Topology) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.topology = topology
}

// Send sends this daemon's own evidence to the neighbors and the sinks.
func (x *Exchange) Send(e *Evidence) {
	links, topology := x.current()
	sent := x.sendTo(links, topology.Neighbors, e)
	relayed := *e
	relayed.Relayed = true
	if !x.sendTo(links, topology.Sinks, &relayed) || !sent {
		x.onUnlinked(e)
	}
}

// current returns the links and the topology.
func (x *Exchange) current() (backlog.Links, backlog.Topology) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.links, x.topology
}

// handle adds the evidence in a message, and sends what is new from a neighbor on to
// the sinks.
func (x *Exchange) handle(from ident.Host, message peer.Message) {
	var e Evidence
	if message.Version > messageVersion {
		return
	}
	if err := peer.Decode(message.Payload, &e); err != nil {
		x.log.Debug("crash message skipped", "peer", from, "error", err)
		return
	}
	fresh := x.receive(&e)
	if e.Relayed || fresh.empty() {
		return
	}
	fresh.Relayed = true
	if links, topology := x.current(); !x.sendTo(links, topology.Sinks, &fresh) {
		x.onUnlinked(&fresh)
	}
}

// sendTo sends evidence to hosts, and reports whether all have a link.
func (x *Exchange) sendTo(links backlog.Links, hosts []ident.Host, e *Evidence) bool {
	if len(hosts) == 0 {
		return true
	}
	payload, err := peer.EncodeCompact(e)
	if err != nil {
		x.log.Error("crash message not encoded", "error", err)
		return false
	}
	if links == nil {
		return false
	}
	all := true
	for _, host := range hosts {
		all = links.Send(host, peer.Message{Kind: peer.KindCrashes, Version: messageVersion, Payload: payload}) == nil && all
	}
	return all
}

// Run sends the evidence that other daemons may have missed, which suspects returns,
// over each new link until ctx ends.
func (x *Exchange) Run(ctx context.Context, suspects func() Evidence) error {
	var before []ident.Host
	return clock.Every(ctx, linkCheckInterval, func() error {
		links, _ := x.current()
		if links == nil {
			return nil
		}
		linked := links.Linked()
		added := slices.DeleteFunc(slices.Clone(linked), func(host ident.Host) bool { return slices.Contains(before, host) })
		before = linked
		if len(added) == 0 {
			return nil
		}
		if e := suspects(); !e.empty() {
			e.Relayed = true
			x.sendTo(links, added, &e)
		}
		return nil
	})
}
