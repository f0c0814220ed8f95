package daemon

import (
	"log/slog"
	"net"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Options are what a daemon runs with.
type Options struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Log           *slog.Logger
	// Listener takes callers' connections.
	Listener net.Listener
	// AdminListener takes operators' connections; nil means none.
	AdminListener net.Listener
	Store         platform.Store
	Targets       platform.TargetOrderer
	Usage         platform.UsageSink
	Hosts         platform.HostList
	Weights       platform.WeightStore
	// UsageWindow is the length of a usage window, UsageGrace how long after
	// its end it is closed.
	UsageWindow time.Duration
	UsageGrace  time.Duration
}
