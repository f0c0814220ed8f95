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

// Server serves callers until it is asked to stop.
type Server struct {
	opts Options
	// asked is closed when a stop is asked for, done when it is complete.
	asked chan struct{}
	done  chan struct{}
	once  sync.Once
	// running counts the requests that are being served.
	running atomic.Int64
	// lastAt is when the last request came, in nanoseconds of the wall clock.
	lastAt atomic.Int64
	phase  atomic.Pointer[Phase]
}

// ErrDraining is why a daemon that stops is not ready.
var ErrDraining = fault.New(fault.Unavailable, "the daemon is stopping", "send requests to another daemon")

// New returns a server that does not serve yet.
func New(opts Options) *Server {
	s := &Server{opts: opts, asked: make(chan struct{}), done: make(chan struct{})}
	s.enter(Serving)
	opts.Server.Handler = s.wrap(opts.Server.Handler)
	return s
}

// Run serves until a stop is complete. It cuts what is left where ctx ends
// first.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	served := make(chan error, 1)
	go func() { served <- s.opts.Server.Serve(s.opts.Listener) }()
	select {
	case err := <-served:
		return ignoreClosed(err)
	case <-ctx.Done():
	case <-s.asked:
		s.stop(ctx)
	}
	_ = s.opts.Server.Close()
	return ignoreClosed(<-served)
}

// ignoreClosed drops the error of a server that was closed on purpose.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop asks for a planned stop and returns at once.
func (s *Server) Stop() { s.once.Do(func() { close(s.asked) }) }

// Done is closed once Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Ready returns ErrDraining once a stop was asked for.
func (s *Server) Ready() error {
	if s.draining() {
		return ErrDraining
	}
	return nil
}

// Status returns how the stop stands.
func (s *Server) Status() Status {
	phase := *s.phase.Load()
	if phase == Serving && s.draining() {
		phase = LookingAway
	}
	return Status{Phase: phase, Running: s.running.Load()}
}

// draining reports whether a stop was asked for.
func (s *Server) draining() bool {
	select {
	case <-s.asked:
		return true
	default:
		return false
	}
}

// stop carries a planned stop out.
func (s *Server) stop(ctx context.Context) {
	s.enter(LookingAway)
	asked := time.Now()
	s.runHooks(ctx, s.opts.AtStart)
	s.waitForBalancer(ctx, asked)
	s.enter(Finishing)
	// Shutdown closes the listener and the idle connections, and waits for
	// running requests for as long as ctx lasts.
	if err := s.opts.Server.Shutdown(ctx); err != nil {
		s.opts.Log.Warn("requests were cut", "running", s.running.Load(), "error", err)
	}
	s.runHooks(context.WithoutCancel(ctx), s.opts.AtEnd)
	s.enter(Drained)
}

// waitForBalancer waits for the balancer's delay, and then until no request
// has come for a while.
func (s *Server) waitForBalancer(ctx context.Context, asked time.Time) {
	clock.Sleep(ctx, s.opts.BalancerDelay-time.Since(asked))
	latest := asked.Add((1 + lookAwayFactor) * s.opts.BalancerDelay)
	if s.opts.LatestClose > 0 {
		latest = asked.Add(s.opts.LatestClose)
	}
	for ctx.Err() == nil && time.Now().Before(latest) {
		quiet := time.Since(time.Unix(0, s.lastAt.Load()))
		if quiet >= quietTime {
			return
		}
		clock.Sleep(ctx, quietTime-quiet)
	}
}

// enter notes the phase.
func (s *Server) enter(phase Phase) {
	s.phase.Store(&phase)
	s.opts.Log.Info("callers' server", "phase", phase, "running", s.running.Load())
}
