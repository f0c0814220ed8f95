package drain

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Options configures a Server.
type Options struct {
	// Server serves callers; its handler is wrapped.
	Server   *http.Server
	Listener net.Listener
	Log      *slog.Logger
	// BalancerDelay is how long the load balancer may still send requests after
	// readiness fails.
	BalancerDelay time.Duration
	// MaxCloseDelay bounds the wait for a quiet period: the listener closes at most
	// this long after the request to stop, unless BalancerDelay or the OnStop hooks
	// take longer. Zero means 1 + maxExtraBalancerDelays times BalancerDelay.
	MaxCloseDelay time.Duration
	// Grace is the time after which the process is killed once a stop is requested;
	// zero means never.
	Grace time.Duration
	// EndingMargin is how long before the end of Grace the context of Ending is canceled.
	EndingMargin time.Duration
	// OnStop hooks run as soon as a stop is requested, for example to release
	// leases to other daemons.
	OnStop []Hook
	// OnDrained hooks run once no request is left, for example to flush usage.
	OnDrained []Hook
}

// Hook is a function that runs during a graceful shutdown.
type Hook struct {
	// Name identifies the hook in logs.
	Name string
	Run  func(ctx context.Context) error
}

const (
	// hookTimeout bounds the hooks that run together.
	hookTimeout = 10 * time.Second
	// quietPeriod is how long no request may arrive before the listener is
	// closed.
	quietPeriod = time.Second
	// maxExtraBalancerDelays bounds the wait for a quiet period, in multiples of
	// BalancerDelay after the first. A balancer that keeps sending requests must
	// not prevent the stop.
	maxExtraBalancerDelays = 3
)
