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

// Options are what a Gateway runs with.
type Options struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Log           *slog.Logger
	// Listener takes callers' connections, ReadyListener the balancer's
	// questions and AdminListener operators' connections, which may be nil.
	Listener      net.Listener
	ReadyListener net.Listener
	AdminListener net.Listener
	// PeerListener takes links from other daemons.
	PeerListener net.Listener
	// ReadyHandler answers the balancer by what ready tells.
	ReadyHandler func(ready func() error) http.Handler
	Store        external.Store
	// Published is the configuration, and Feed what brings it from the store.
	Published *config.Published
	Feed      mirror.Listener
	// KnownWithin is the time from a change in the store until the process must
	// act by it.
	KnownWithin time.Duration
	// Entries reads the targets' entries.
	Entries registry.Options
	// Format is the callers', Protocol the targets'.
	Format   entry.Format
	Protocol relay.Protocol
	// Sink takes the usage reports, whose windows have the length UsageWindow
	// and are due UsageDue after their end.
	Sink        tally.Sink
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Orderer orders engines' roles.
	Orderer rolekeeper.Orderer
	// Supplier orders engines from the platform.
	Supplier supplykeeper.Orderer
	// LeaseTerm is the time in which holders of a duty must not take turns.
	LeaseTerm time.Duration
	// LinesDropped counts the log lines that were not written. It may be nil.
	LinesDropped func() int64
	// Limits are the first limits.
	Limits Limits
	// StopGrace is the time from the request to stop until the process is
	// killed.
	StopGrace time.Duration
}
