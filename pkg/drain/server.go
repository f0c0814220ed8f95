package drain

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Server serves callers, and drains their requests once a stop is requested.
type Server struct {
	opts Options
	// stopRequested is closed when a stop is requested, done when Run returns.
	stopRequested chan struct{}
	done          chan struct{}
	once          sync.Once
	// balancerAwayAt is when the balancer sends no more requests, or nil as long as no stop
	// is requested.
	balancerAwayAt atomic.Pointer[time.Time]
	// ending is canceled by endAll shortly before the process is killed.
	ending context.Context //nolint:containedctx // It is that of the process, not of a call.
	endAll context.CancelFunc
	// killedAt is when the process is killed, or nil as long as no stop is requested
	// or if it never is.
	killedAt atomic.Pointer[time.Time]
	// running is how many requests are being served.
	running atomic.Int64
	// createdAt is when the server was created, on the steady clock.
	createdAt time.Time
	// lastRequestAt is when the last request arrived, in nanoseconds since createdAt.
	lastRequestAt atomic.Int64
	phase         atomic.Pointer[Phase]
}

// ErrDraining is the readiness error of a daemon that is stopping.
var ErrDraining = fault.New(fault.Unavailable, "the daemon is stopping", "send requests to another daemon")

// New returns a server that is not running yet. It wraps the handler of
// opts.Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, createdAt: time.Now(), stopRequested: make(chan struct{}), done: make(chan struct{})}
	s.ending, s.endAll = context.WithCancel(context.Background())
	s.setPhase(Serving)
	opts.Server.Handler = s.trackRequests(opts.Server.Handler)
	return s
}

// Run serves until a requested stop is complete. If ctx is canceled first, it
// closes the remaining connections and thereby interrupts their requests.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	served := make(chan error, 1)
	go func() { served <- s.opts.Server.Serve(s.opts.Listener) }()
	select {
	case err := <-served:
		return ignoreClosed(err)
	case <-ctx.Done():
	case <-s.stopRequested:
		s.drain(ctx)
	}
	_ = s.opts.Server.Close()
	return ignoreClosed(<-served)
}

// ignoreClosed drops the error that Serve returns after Shutdown or Close.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop requests a graceful shutdown and returns immediately.
func (s *Server) Stop() {
	s.once.Do(func() {
		awayAt := time.Now().Add(s.opts.BalancerDelay)
		s.balancerAwayAt.Store(&awayAt)
		if s.opts.Grace > 0 {
			killedAt := time.Now().Add(s.opts.Grace)
			s.killedAt.Store(&killedAt)
			time.AfterFunc(s.opts.Grace-s.opts.EndingMargin, s.endAll)
		}
		close(s.stopRequested)
	})
}

// TimeLeft returns how much time requests have until the process is killed, or false
// if it is not known to be.
func (s *Server) TimeLeft() (time.Duration, bool) {
	killedAt := s.killedAt.Load()
	if killedAt == nil {
		return 0, false
	}
	return time.Until(*killedAt), true
}

// Ending returns a context that is canceled shortly before the process is killed, when
// requests that still run must end to be answered at all.
func (s *Server) Ending() context.Context { return s.ending }

// BalancerAway reports whether a stop was requested so long ago that the balancer sends
// no more requests. Those on open connections may still arrive.
func (s *Server) BalancerAway() bool {
	awayAt := s.balancerAwayAt.Load()
	return awayAt != nil && !time.Now().Before(*awayAt)
}

// Done returns a channel that is closed once Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Ready returns ErrDraining once a stop was requested.
func (s *Server) Ready() error {
	if s.draining() {
		return ErrDraining
	}
	return nil
}

// Status returns the progress of a stop.
func (s *Server) Status() Status {
	phase := *s.phase.Load()
	if phase == Serving && s.draining() {
		phase = AwaitingBalancer
	}
	return Status{Phase: phase, Running: s.running.Load()}
}

// draining reports whether a stop was requested.
func (s *Server) draining() bool {
	select {
	case <-s.stopRequested:
		return true
	default:
		return false
	}
}

// drain carries out a graceful shutdown.
func (s *Server) drain(ctx context.Context) {
	s.setPhase(AwaitingBalancer)
	requestedAt := time.Now()
	s.runHooks(ctx, s.opts.OnStop)
	s.waitForBalancer(ctx, requestedAt)
	s.setPhase(Finishing)
	// Shutdown closes the listener and the idle connections and waits for
	// running requests until ctx is canceled.
	if err := s.opts.Server.Shutdown(ctx); err != nil {
		s.opts.Log.Warn("shutdown interrupted running requests", "running", s.running.Load(), "error", err)
	}
	s.runHooks(context.WithoutCancel(ctx), s.opts.OnDrained)
	s.setPhase(Drained)
}

// waitForBalancer waits for BalancerDelay and then until no request has arrived for
// quietPeriod or the latest time to close the listener has come.
func (s *Server) waitForBalancer(ctx context.Context, requestedAt time.Time) {
	clock.Sleep(ctx, s.opts.BalancerDelay-time.Since(requestedAt))
	latest := requestedAt.Add((1 + maxExtraBalancerDelays) * s.opts.BalancerDelay)
	if s.opts.MaxCloseDelay > 0 {
		latest = requestedAt.Add(s.opts.MaxCloseDelay)
	}
	for ctx.Err() == nil && time.Now().Before(latest) {
		quiet := time.Since(s.createdAt) - time.Duration(s.lastRequestAt.Load())
		if quiet >= quietPeriod {
			return
		}
		clock.Sleep(ctx, min(quietPeriod-quiet, time.Until(latest)))
	}
}

// setPhase stores and logs the phase.
func (s *Server) setPhase(phase Phase) {
	s.phase.Store(&phase)
	s.opts.Log.Info("callers' server", "phase", phase, "running", s.running.Load())
}
