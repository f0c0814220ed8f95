package gateway

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// secretKey is the key of the secret that authenticates links between daemons.
	secretKey external.Key = "peers/secret"
	// secretTimeout bounds one attempt to read or create the secret.
	secretTimeout = time.Second
	// secretRetryInterval is the pause between attempts to read it.
	secretRetryInterval = 500 * time.Millisecond
	// peersInterval is the time between updates of the peers.
	peersInterval = time.Second
)

// runLinks maintains the links to other daemons until ctx ends. Without links the
// daemon still serves, but has less information about the engines' load.
func (g *Gateway) runLinks(ctx context.Context) error {
	secret := g.waitForSecret(ctx)
	if len(secret) == 0 {
		return nil
	}
	links, err := peer.New(peer.Options{
		Host: g.opts.Host, Incarnation: g.incarnation, Listener: g.opts.PeerListener, Secret: secret,
		Log: g.opts.Log, Registerer: g.registry,
	})
	if err != nil {
		return err
	}
	g.backlog.Attach(links)
	links.Handle(peer.KindUsageTail, g.receiveCheckpoint)
	links.Handle(peer.KindClosedWindow, g.receiveClosedWindow)
	g.links.Store(links)
	go g.updatePeers(ctx, links)
	return links.Run(ctx)
}

// updatePeers updates the peers of the links and of the backlog exchange from the
// running daemons until ctx ends.
func (g *Gateway) updatePeers(ctx context.Context, links *peer.Manager) {
	_ = clock.Every(ctx, peersInterval, func() error {
		members := g.presence.Members()
		topology := topologyOf(backlog.Daemon{Host: g.opts.Host, FailureDomain: g.opts.FailureDomain}, members)
		g.backlog.SetTopology(topology)
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

// waitForSecret returns the fleet's secret, and creates it if the store has none.
// It retries until it succeeds, and returns nil once ctx ends.
func (g *Gateway) waitForSecret(ctx context.Context) []byte {
	for ctx.Err() == nil {
		secret, err := g.readOrCreateSecret(ctx)
		if err == nil && len(secret) > 0 {
			return secret
		}
		if err != nil {
			g.opts.Log.Info("link secret neither read nor created, retrying", "error", err)
		}
		clock.Sleep(ctx, secretRetryInterval)
	}
	return nil
}

// readOrCreateSecret returns the secret in the store. If there is none it writes a
// random one and returns nil, since another daemon may have written its own first.
// The next read returns the one that is in the store.
func (g *Gateway) readOrCreateSecret(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, secretTimeout)
	defer cancel()
	entry, err := g.opts.Store.Get(ctx, secretKey)
	if !errors.Is(err, external.ErrKeyNotFound) {
		return entry.Value, err
	}
	_, err = g.opts.Store.CompareAndSwap(ctx, external.Swap{Key: secretKey, Value: []byte(rand.Text())})
	if errors.Is(err, external.ErrVersionConflict) {
		return nil, nil
	}
	return nil, err
}
