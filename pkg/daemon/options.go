package daemon

import (
	"log/slog"
	"net"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Options configure a Daemon.
type Options struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Log           *slog.Logger
	// Listener accepts callers' connections.
	Listener net.Listener
	// AdminListener accepts operators' connections.
	AdminListener net.Listener
	// PeerListener accepts links from other daemons. PeerSecret authenticates
	// them, and PeerTLS, if set, encrypts them.
	PeerListener net.Listener
	PeerSecret   []byte
	PeerTLS      peer.TLSSource
	// PeerSeeds are hosts to link to before the platform's list is read.
	PeerSeeds []external.HostRecord
	// PeerDegree bounds the number of the daemon's links; zero selects the default.
	PeerDegree int
	// Credential authenticates the daemon to targets. It may be empty.
	Credential string
	Store      external.Store
	Targets    external.TargetOrderer
	Usage      external.UsageSink
	Hosts      external.HostList
	Weights    external.WeightStore
	// BalancerDelay is how long the load balancer may still send requests after
	// the readiness check fails.
	BalancerDelay time.Duration
}
