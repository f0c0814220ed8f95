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
	// secretKey holds the secret that links between the daemons are proved by.
	secretKey external.Key = "peers/secret"
	// secretTimeout bounds one try to read it.
	secretTimeout = time.Second
	// secretRetry is the pause between tries to read it.
	secretRetry = 500 * time.Millisecond
	// linksEvery is the time between looks at which daemons there are.
	linksEvery = time.Second
)

// runLinks keeps the links to other daemons until ctx ends. Without them the
// daemon serves on, with less knowledge of the engines' load.
func (g *Gateway) runLinks(ctx context.Context) error {
	secret := g.secret(ctx)
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
	links.Handle(peer.KindUsageTail, g.takeUsage)
	g.links.Store(links)
	go g.keepPeers(ctx, links)
	return links.Run(ctx)
}

// keepPeers tells the links and the exchange which daemons there are until ctx
// ends.
func (g *Gateway) keepPeers(ctx context.Context, links *peer.Manager) {
	_ = clock.Every(ctx, linksEvery, func() error {
		members := g.presence.Members()
		circle := circleOf(backlog.Daemon{Host: g.opts.Host, FailureDomain: g.opts.FailureDomain}, members)
		g.backlog.SetTopology(circle)
		links.SetPeers(addressesOf(circle.Hosts(), members))
		return nil
	})
}

// circleOf returns a daemon's circle among the members that take links.
func circleOf(self backlog.Daemon, members []membership.Member) backlog.Topology {
	others := make([]backlog.Daemon, 0, len(members))
	for i := range members {
		if members[i].Address != "" {
			others = append(others, backlog.Daemon{Host: members[i].Host, FailureDomain: members[i].FailureDomain})
		}
	}
	return backlog.NewTopology(self, others)
}

// addressesOf returns where hosts take links.
func addressesOf(hosts []ident.Host, members []membership.Member) []peer.Address {
	var peers []peer.Address
	for i := range members {
		if slices.Contains(hosts, members[i].Host) {
			peers = append(peers, peer.Address{Host: members[i].Host, Address: members[i].Address})
		}
	}
	return peers
}

// secret returns the fleet's secret, which the first daemon that finds none
// makes up. It returns nil once ctx ends.
func (g *Gateway) secret(ctx context.Context) []byte {
	for ctx.Err() == nil {
		secret, err := g.readSecret(ctx)
		if err == nil && len(secret) > 0 {
			return secret
		}
		if err != nil {
			g.opts.Log.Info("secret of the links not read", "error", err)
		}
		clock.Sleep(ctx, secretRetry)
	}
	return nil
}

// readSecret returns the secret in the store. Where there is none it makes one
// up, and returns nothing: the next read finds whichever came first.
func (g *Gateway) readSecret(ctx context.Context) ([]byte, error) {
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
