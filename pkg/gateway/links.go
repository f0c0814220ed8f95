package gateway

import (
	"context"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// peersInterval is the time between updates of the peers.
const peersInterval = time.Second

// runLinks maintains the links to other daemons until ctx ends. Without links the
// daemon still serves, but has less information about the engines' load.
func (g *Gateway) runLinks(ctx context.Context) error {
	secret := g.waitForSecret(ctx)
	if len(secret) == 0 {
		return nil
	}
	links, err := peer.New(peer.Options{
		Host: g.opts.Host, Incarnation: g.incarnation, Listener: g.overload.Peers().Listener(g.opts.PeerListener), Secret: secret,
		Log: g.opts.Log, Registerer: g.registry,
	})
	if err != nil {
		return err
	}
	g.backlog.Attach(links)
	g.poison.exchange.Attach(links)
	g.origins.exchange.Attach(links, g.origins.table)
	g.quotas.exchange.Attach(links, g.quotas.table.Receive)
	links.Handle(peer.KindUsageTail, g.receiveCheckpoint)
	links.Handle(peer.KindClosedWindow, g.receiveClosedWindow)
	links.Handle(peer.KindStoreEra, g.receiveEra)
	g.links.Store(links)
	go g.updatePeers(ctx, links)
	go g.keepSecret(ctx, secret)
	go g.sendEras(ctx, links)
	return links.Run(ctx)
}

// updatePeers updates the peers of the links and of the backlog exchange from the
// running daemons until ctx ends.
func (g *Gateway) updatePeers(ctx context.Context, links *peer.Manager) {
	_ = clock.Every(ctx, peersInterval, func() error {
		members := g.presence.Members()
		topology := topologyOf(backlog.Daemon{Host: g.opts.Host, FailureDomain: g.opts.FailureDomain}, members)
		g.backlog.SetTopology(topology)
		g.poison.exchange.SetTopology(topology)
		g.quotas.exchange.SetTopology(topology)
		links.SetPeers(peerAddresses(topology.Hosts(), members))
		return nil
	})
}

// topologyOf returns a daemon's topology among the members that accept links, which
// are those with an address.
func topologyOf(self backlog.Daemon, members []membership.Member) backlog.Topology {
	others := make([]backlog.Daemon, 0, len(members))
	for i := range members {
		if members[i].Address != "" {
			others = append(others, backlog.Daemon{Host: members[i].Host, FailureDomain: members[i].FailureDomain})
		}
	}
	return backlog.NewTopology(self, others)
}

// peerAddresses returns the addresses on which hosts accept links.
func peerAddresses(hosts []ident.Host, members []membership.Member) []peer.Address {
	var peers []peer.Address
	for i := range members {
		if slices.Contains(hosts, members[i].Host) {
			peers = append(peers, peer.Address{Host: members[i].Host, Address: members[i].Address})
		}
	}
	return peers
}
