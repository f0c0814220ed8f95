package gateway

import (
	"math/rand/v2"
	"slices"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// checkpointVersion is the version of the message that sends a checkpoint to
// another daemon.
const checkpointVersion = 1

// sendCheckpoint sends a usage checkpoint to a linked daemon, which holds it and
// writes it to the store if this daemon can't. If no daemon is linked, the counts
// are only saved by the counter's next write. It reports whether the checkpoint was sent.
func (g *Gateway) sendCheckpoint(checkpoint tally.CheckpointMessage) bool {
	links := g.links.Load()
	if links == nil {
		return false
	}
	hosts := links.Linked()
	if len(hosts) == 0 {
		return false
	}
	to := slices.Min(hosts)
	if checkpoint.Refused {
		// The store may refuse the usual receiver's writes too, so a random linked
		// daemon is chosen.
		to = hosts[rand.IntN(len(hosts))]
	}
	payload, err := peer.EncodeCompact(checkpoint)
	if err != nil {
		g.opts.Log.Error("usage checkpoint message not encoded", "peer", to, "error", err)
		return false
	}
	if err := links.Send(to, peer.Message{Kind: peer.KindUsageTail, Version: checkpointVersion, Payload: payload}); err != nil {
		g.opts.Log.Debug("usage checkpoint not sent", "peer", to, "error", err)
		return false
	}
	return true
}

// receiveCheckpoint passes another daemon's checkpoint to the standby writer.
func (g *Gateway) receiveCheckpoint(from ident.Host, message peer.Message) {
	if message.Version != checkpointVersion {
		return
	}
	var checkpoint tally.CheckpointMessage
	err := peer.Decode(message.Payload, &checkpoint)
	if err == nil {
		err = g.standbyWriter.Hold(checkpoint)
	}
	if err != nil {
		g.opts.Log.Warn("usage checkpoint of another daemon rejected", "peer", from, "error", err)
	}
}
