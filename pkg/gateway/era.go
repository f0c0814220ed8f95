package gateway

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// eraVersion is the version of the message that names the store's era.
const eraVersion = 1

// eraRepeatInterval and eraRepeats are the time between two messages that name an era,
// and how many are sent, so that daemons whose link was just lost receive one.
const (
	eraRepeatInterval = 2 * time.Second
	eraRepeats        = 4
)

// eraMessage names the store's highest era that the sender knows.
type eraMessage struct {
	Era external.Era
}

// sendEras sends each rise of the store's era to the linked daemons until ctx ends, so
// that those that are cut off from the store act on nothing that it has lost.
func (g *Gateway) sendEras(ctx context.Context, links *peer.Manager) {
	era, risen := g.store.Era()
	repeats := 0
	ticker := time.NewTicker(eraRepeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-risen:
			era, risen = g.store.Era()
			repeats = eraRepeats
		case <-ticker.C:
		}
		if repeats > 0 {
			repeats--
			g.sendEra(links, era)
		}
	}
}

// sendEra sends an era to all linked daemons.
func (g *Gateway) sendEra(links *peer.Manager, era external.Era) {
	payload, err := peer.EncodeCompact(eraMessage{Era: era})
	if err != nil {
		g.opts.Log.Error("store era not encoded", "era", era, "error", err)
		return
	}
	for _, host := range links.Linked() {
		if err := links.Send(host, peer.Message{Kind: peer.KindStoreEra, Version: eraVersion, Payload: payload}); err != nil {
			g.opts.Log.Debug("store era not sent", "peer", host, "error", err)
		}
	}
}

// receiveEra records the era that another daemon knows.
func (g *Gateway) receiveEra(from ident.Host, message peer.Message) {
	if message.Version != eraVersion {
		return
	}
	var received eraMessage
	if err := peer.Decode(message.Payload, &received); err != nil {
		g.opts.Log.Warn("store era of another daemon rejected", "peer", from, "error", err)
		return
	}
	g.store.ObserveEra(received.Era)
}
