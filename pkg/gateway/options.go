package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/registry"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/rolekeeper"
	"amaranthplank.example/amaranthplank/pkg/supplykeeper"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

// Options configure a Gateway.
type Options struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Log           *slog.Logger
	// Listener accepts callers' connections, ReadyListener the balancer's readiness
	// checks and AdminListener operators' connections. AdminListener may be nil.
	Listener      net.Listener
	ReadyListener net.Listener
	AdminListener net.Listener
	// PeerListener accepts links from other daemons.
	PeerListener net.Listener
	// ReadyHandler returns the handler of the balancer's readiness checks. ready
	// returns nil if the balancer may send requests.
	ReadyHandler func(ready func() error) http.Handler
	Store        external.Store
	// Published holds the current configuration. ConfigListener updates it
	// from the store.
	Published      *config.PublishedSource
	ConfigListener mirror.Listener
	// PropagationBound is the time within which the process must act on a change in the
	// store.
	PropagationBound time.Duration
	// Registry configures the registry of targets.
	Registry registry.Options
	// Format is the format of callers' requests, Protocol the protocol of targets.
	Format   entry.Format
	Protocol relay.Protocol
	// Sink receives the usage reports. Each covers a window of length UsageWindow
	// and is due UsageReportDeadline after the window's end.
	Sink                tally.Sink
	UsageWindow         time.Duration
	UsageReportDeadline time.Duration
	// RoleOrderer sends role orders to engines.
	RoleOrderer rolekeeper.Orderer
	// EngineOrderer orders engines from the platform.
	EngineOrderer supplykeeper.Orderer
	// LeaseTerm is the time after the last renewal of a duty's lease within which no
	// other process may take the duty, unless its holder releases it. The TTL of the
	// duties' leases is LeaseTerm, but at least minLeaseTTL.
	LeaseTerm time.Duration
	// FencingUnchecked is set if the platform and the targets don't refuse calls with an old
	// fencing token. The work of a duty's next holder is then delayed until no call of the
	// former one can arrive, see lease.Timing.HandoverDelay.
	FencingUnchecked bool
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// LinesDropped returns the number of dropped log lines. It may be nil.
	LinesDropped func() int64
	// Limits are the initial limits. ApplyLimits replaces them.
	Limits Limits
	// MemoryBytes is the memory that the process may have; zero means that it is not known. A
	// part of it is for the bodies of requests.
	MemoryBytes int64
	// FileDescriptors is how many descriptors the process may have; zero means as many as the
	// kernel allows.
	FileDescriptors int
	// StopGrace is the time after which the process is killed once a stop is
	// requested.
	StopGrace time.Duration
}
