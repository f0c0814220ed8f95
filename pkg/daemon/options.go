package daemon

import (
	"log/slog"
	"net"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// Options are what a daemon runs with.
type Options struct {
	Host          ident.Host
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Log           *slog.Logger
	// Listener takes callers' connections.
	Listener net.Listener
	// AdminListener takes operators' connections.
	AdminListener net.Listener
	// PeerListener takes links from other daemons, which PeerSecret proves and
	// PeerTLS, where it is set, encrypts.
	PeerListener net.Listener
	PeerSecret   []byte
	PeerTLS      peer.TLSSource
	// PeerSeeds are hosts to link to before the platform's list is read.
	PeerSeeds []external.HostRecord
	// PeerDegree bounds the links of the daemon; zero takes the default.
	PeerDegree int
	// Credential is the system's own towards targets. It may be empty.
	Credential string
	Store      external.Store
	Targets    external.TargetOrderer
	Usage      external.UsageSink
	Hosts      external.HostList
	Weights    external.WeightStore
	// BalancerDelay is how long after readiness fails the balancer may still
	// send requests.
	BalancerDelay time.Duration
}
