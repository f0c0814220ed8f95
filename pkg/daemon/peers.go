package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// connect creates the peer links and the membership, without starting them.
func (d *Daemon) connect() error {
	links, err := peer.New(peer.Options{
		Host: d.opts.Host, Incarnation: d.incarnation, Listener: d.overload.Peers().Listener(d.opts.PeerListener),
		TLS: d.opts.PeerTLS, Secret: d.opts.PeerSecret, Log: d.opts.Log, Registerer: d.registry,
		LinkChanged: func(host ident.Host, peerIncarnation ident.Incarnation, up bool) {
			d.members.LinkChanged(host, peerIncarnation, up)
		},
	})
	if err != nil {
		return err
	}
	d.links = links
	d.members = membership.New(membership.Options{
		Self: membership.Record{
			Host: d.opts.Host, Incarnation: d.incarnation, FailureDomain: d.opts.FailureDomain,
			Region: d.opts.Region, Address: d.opts.PeerListener.Addr().String(),
		},
		Links: links, Seeds: d.opts.PeerSeeds, Hosts: d.opts.Hosts, Loaded: func() (ident.Revision, ident.Revision) { return d.config.Loaded() }, Degree: d.opts.PeerDegree, Neighbors: dissemination.Neighbors,
		Log: d.opts.Log, Registerer: d.registry,
	})
	return nil
}

// runPeers runs the peer links and the membership until ctx ends.
func (d *Daemon) runPeers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.links.Run(ctx) })
	group.Go(func() error { return d.members.Run(ctx) })
}
