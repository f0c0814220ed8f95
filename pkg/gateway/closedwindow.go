package gateway

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// closedWindowVersion is the version of the message that sends a closed window to
// another daemon.
const closedWindowVersion = 1

// sendClosedWindow sends a closed usage window to all linked daemons.
func (g *Gateway) sendClosedWindow(closed tally.ClosedWindow) {
	links := g.links.Load()
	if links == nil {
		return
	}
	payload, err := peer.EncodeCompact(closed)
	if err != nil {
		g.opts.Log.Error("closed usage window not encoded", "window", closed.Window, "error", err)
		return
	}
	for _, host := range links.Linked() {
		if err := links.Send(host, peer.Message{Kind: peer.KindClosedWindow, Version: closedWindowVersion, Payload: payload}); err != nil {
			g.opts.Log.Debug("closed usage window not sent", "peer", host, "error", err)
		}
	}
}

// receiveClosedWindow remembers a window that another daemon has closed.
func (g *Gateway) receiveClosedWindow(from ident.Host, message peer.Message) {
	if message.Version != closedWindowVersion {
		return
	}
	var closed tally.ClosedWindow
	if err := peer.Decode(message.Payload, &closed); err != nil {
		g.opts.Log.Warn("closed usage window of another daemon rejected", "peer", from, "error", err)
		return
	}
	g.windows.Remember(closed)
}
