package membership

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Links is the part of the links that a Manager uses; peer.Manager implements
// it.
type Links interface {
	peer.Mesh
	// SetPeers replaces the list of peers to keep links to.
	SetPeers(peers []peer.Address)
	// Linked returns the hosts with an open link.
	Linked() []ident.Host
}

// Options configures a Manager.
type Options struct {
	// Self is the daemon's own record; its incarnation rises with each start.
	Self  Record
	Links Links
	// Seeds are hosts known from the settings; Hosts is the platform's host
	// list, or nil.
	Seeds []external.HostRecord
	Hosts external.HostList
	// Loaded returns the revisions of the control state that the daemon has
	// loaded.
	Loaded func() (revision, holds ident.Revision)
	// Neighbors chooses the hosts to keep links to; nil means the ring of
	// this package's Neighbors.
	Neighbors func(self ident.Host, hosts []ident.Host, up map[ident.Host]bool, degree int) []ident.Host
	// Degree bounds the links that the daemon chooses.
	Degree     int
	Timing     Timing
	Log        *slog.Logger
	Registerer prometheus.Registerer
	Random     *rand.Rand
	// HostListInterval is the time between reads of the platform's host list.
	HostListInterval time.Duration
}

const (
	// DefaultDegree bounds the links of a daemon. A fleet of up to one host
	// more is a full mesh.
	DefaultDegree = 8
	// hostListInterval is the default time between reads of the platform's host list.
	hostListInterval = 15 * time.Second
	// hostListReaders is how many members read the platform's host list.
	hostListReaders = 3
	// inboxLimit bounds the events that wait for the manager.
	inboxLimit = 1024
)

// setDefaults sets the defaults of options that were left out.
func (o *Options) setDefaults() {
	if o.Degree == 0 {
		o.Degree = DefaultDegree
	}
	if o.Neighbors == nil {
		o.Neighbors = func(self ident.Host, hosts []ident.Host, _ map[ident.Host]bool, degree int) []ident.Host {
			return Neighbors(self, hosts, degree)
		}
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.HostListInterval == 0 {
		o.HostListInterval = hostListInterval
	}
	if o.Loaded == nil {
		o.Loaded = func() (ident.Revision, ident.Revision) { return 0, 0 }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}
