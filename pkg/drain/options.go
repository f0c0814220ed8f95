package drain

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Options are what a Server works with.
type Options struct {
	// Server serves callers; its handler is wrapped.
	Server   *http.Server
	Listener net.Listener
	Log      *slog.Logger
	// BalancerDelay is how long after readiness fails the balancer may still
	// send requests.
	BalancerDelay time.Duration
	// LatestClose bounds the time after which the listener closes, counted from
	// the request to stop. Zero takes a multiple of BalancerDelay.
	LatestClose time.Duration
	// AtStart run as soon as a stop is asked for, such as to hand leases to
	// other daemons.
	AtStart []Hook
	// AtEnd run once no request is left, such as to flush usage.
	AtEnd []Hook
}

// Hook is one thing to do on a planned stop.
type Hook struct {
	// Name tells hooks apart in logs.
	Name string
	Run  func(ctx context.Context) error
}

const (
	// hookTimeout bounds one hook.
	hookTimeout = 10 * time.Second
	// quietTime is how long no request may have come before the listener is
	// closed.
	quietTime = time.Second
	// lookAwayFactor bounds the wait for quiet, in balancer delays beyond the
	// first. A balancer that goes on sending must not keep the daemon for ever.
	lookAwayFactor = 3
)
