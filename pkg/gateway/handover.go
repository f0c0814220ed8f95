package gateway

import (
	"math/rand/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// handoverVersion is the format of checkpoints between daemons.
const handoverVersion = 1

// handOver has a linked daemon write a usage checkpoint that this one could not.
// Where none is linked the counter's next try is all there is.
func (g *Gateway) handOver(value []byte) {
	links := g.links.Load()
	if links == nil {
		return
	}
	hosts := links.Linked()
	if len(hosts) == 0 {
		return
	}
	to := hosts[rand.IntN(len(hosts))]
	if err := links.Send(to, peer.Message{Kind: peer.KindUsageTail, Version: handoverVersion, Payload: value}); err != nil {
		g.opts.Log.Debug("usage not handed over", "peer", to, "error", err)
	}
}

// takeUsage takes in another daemon's checkpoint.
func (g *Gateway) takeUsage(from ident.Host, message peer.Message) {
	if message.Version > handoverVersion {
		return
	}
	if err := g.courier.Take(message.Payload); err != nil {
		g.opts.Log.Warn("usage of another daemon unreadable", "peer", from, "error", err)
	}
}
