package gateway

import (
	"math/rand/v2"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// handoverVersion is the format of checkpoints between daemons.
const handoverVersion = 2

// handOver has a linked daemon keep a usage checkpoint, and write it where this
// one can't. Where none is linked the counter's next write is all there is.
func (g *Gateway) handOver(parcel tally.CheckpointMessage) {
	links := g.links.Load()
	if links == nil {
		return
	}
	hosts := links.Linked()
	if len(hosts) == 0 {
		return
	}
	to := slices.Min(hosts)
	if parcel.Refused {
		// The one that keeps the others may be refused as well.
		to = hosts[rand.IntN(len(hosts))]
	}
	payload, err := peer.EncodeCompact(parcel)
	if err != nil {
		g.opts.Log.Error("usage not encoded for another daemon", "error", err)
		return
	}
	if err := links.Send(to, peer.Message{Kind: peer.KindUsageTail, Version: handoverVersion, Payload: payload}); err != nil {
		g.opts.Log.Debug("usage not handed over", "peer", to, "error", err)
	}
}

// takeUsage takes in another daemon's checkpoint.
func (g *Gateway) takeUsage(from ident.Host, message peer.Message) {
	if message.Version != handoverVersion {
		return
	}
	var parcel tally.CheckpointMessage
	err := peer.Decode(message.Payload, &parcel)
	if err == nil {
		err = g.courier.Hold(parcel)
	}
	if err != nil {
		g.opts.Log.Warn("usage of another daemon unreadable", "peer", from, "error", err)
	}
}
