package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// headerTimeout bounds how long an operator's client takes to send its
	// headers.
	headerTimeout = 10 * time.Second
	// maxBodyBytes bounds a caller's body.
	maxBodyBytes = 8 << 20
	// targetsEvery is the time between reads of the target list.
	targetsEvery = time.Second
	// closeEvery is the time between looks for ended usage windows.
	closeEvery = time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	opts    Options
	config  *config.Manager
	targets *targetwatch.Watcher
	meter   *usage.Meter
	closer  *usage.Closer
	relay   *relay.Relay
	server  *http.Server
	admin   *http.Server
}

// New returns a daemon that is ready to run.
func New(opts Options) *Daemon {
	d := &Daemon{opts: opts}
	d.config = config.NewManager(opts.Store, opts.Log)
	d.targets = targetwatch.New(opts.Targets, opts.Log, targetsEvery)
	d.meter = usage.NewMeter(opts.UsageWindow)
	d.closer = usage.NewCloser(usage.CloserOptions{
		Meter: d.meter, Store: opts.Store, Sink: opts.Usage, Log: opts.Log,
		Shard: ident.Duty("usage/" + string(opts.Host)), Grace: opts.UsageGrace, Every: closeEvery,
	})
	d.server = entry.NewServer(d.handler())
	d.admin = &http.Server{Handler: operator.New(prometheus.DefaultGatherer, d.ready), ReadHeaderTimeout: headerTimeout}
	return d
}

// ready tells whether the daemon may get callers' requests.
func (d *Daemon) ready() error {
	if d.config.Current() == nil {
		return fault.New(fault.Unavailable, "no configuration was read yet", "look at the store")
	}
	return nil
}

// handler returns the callers' handler.
func (d *Daemon) handler() http.Handler {
	router := routing.NewLeastOutstanding(d.targets)
	relayer := relay.New(relay.Options{
		Router: router, Client: target.NewClient(), Config: d.config, Log: d.opts.Log,
	})
	d.relay = relayer
	return entry.New(entry.Options{
		Config: d.config, Admission: admission.Unlimited{}, Relay: relayer,
		Recorder: d.meter, Log: d.opts.Log, MaxBodyBytes: maxBodyBytes,
	})
}

// Run serves until ctx ends, and returns the first failure of a part.
func (d *Daemon) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.config.Run(ctx) })
	group.Go(func() error { return d.targets.Run(ctx) })
	group.Go(func() error { return d.closer.Run(ctx) })
	group.Go(func() error { return d.relay.Run(ctx) })
	group.Go(func() error { return serve(ctx, d.server, d.opts.Listener) })
	if d.opts.AdminListener != nil {
		group.Go(func() error { return serve(ctx, d.admin, d.opts.AdminListener) })
	}
	return group.Wait()
}

// serve takes connections until ctx ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
