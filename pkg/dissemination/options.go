package dissemination

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Links is the part of the links that a Manager uses; peer.Manager implements
// it.
type Links interface {
	peer.Mesh
	// Linked returns the hosts with an open link.
	Linked() []ident.Host
}

// Members is the part of the membership that a Manager uses;
// membership.Manager implements it.
type Members interface {
	membership.View
	// Self returns the daemon's own record.
	Self() membership.Record
	// RecordHeartbeats records heartbeats that arrived through other daemons.
	RecordHeartbeats(heartbeats []membership.Heartbeat)
}

// Options configures a Manager.
type Options struct {
	Links   Links
	Members Members
	// Loaded returns the revisions of the control state that the daemon has
	// loaded.
	Loaded     func() (revision, holds ident.Revision)
	Log        *slog.Logger
	Registerer prometheus.Registerer
	Random     *rand.Rand
	// Degree bounds a daemon's links, as in membership.Options.
	Degree int
}

const (
	// inboxLimit bounds the frames that wait for the manager.
	inboxLimit = 1024
	// sumsPerFleet is how many consumption sums all daemons together publish
	// in a bundle interval, minSums the minimum for one daemon.
	sumsPerFleet = 64
	minSums      = 2
)

// setDefaults sets the defaults of options that were left out.
func (o *Options) setDefaults() {
	if o.Degree == 0 {
		o.Degree = membership.DefaultDegree
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Loaded == nil {
		o.Loaded = func() (ident.Revision, ident.Revision) { return 0, 0 }
	}
}

// StrategyFor returns the strategy for a fleet of the given number of hosts:
// a full mesh if the degree allows it, else half as many trees as the degree,
// since a host has a parent in each tree and children in one.
func StrategyFor(hosts, degree int) Strategy {
	if hosts-1 <= degree {
		return Flat{}
	}
	return Trees{Count: max(degree/2, 1)}
}

// Neighbors returns the hosts that a daemon of the fleet keeps links to, for
// membership.Options: its tree neighbors and its opposite host. They are
// computed both with every host up, so that a host that comes up is linked at
// once, and with the hosts that are up, to replace those that are down.
func Neighbors(self ident.Host, hosts []ident.Host, up map[ident.Host]bool, degree int) []ident.Host {
	all := make(map[ident.Host]bool, len(hosts)+1)
	for _, host := range append([]ident.Host{self}, hosts...) {
		all[host] = true
	}
	peers := NewPeers(self, hosts, all)
	trees, ok := StrategyFor(len(peers.Ring), degree).(Trees)
	if !ok {
		return without(peers.Ring, self)
	}
	chosen := make(map[ident.Host]bool)
	for _, view := range []*Peers{peers, NewPeers(self, hosts, up)} {
		for _, host := range append(trees.Links(view), trees.oppositeHost(view)) {
			chosen[host] = true
		}
	}
	delete(chosen, "")
	delete(chosen, self)
	return slices.Sorted(maps.Keys(chosen))
}
