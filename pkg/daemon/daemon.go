package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// maxBodyBytes bounds a caller's body.
	maxBodyBytes = 8 << 20
	// targetsEvery is the time between reads of the target list.
	targetsEvery = time.Second
	// closeEvery is the time between looks for ended usage windows.
	closeEvery = time.Second
	// headerTimeout bounds how long a caller takes to send its headers.
	headerTimeout = 10 * time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	opts    Options
	config  *config.Manager
	targets *targetwatch.Watcher
	meter   *usage.Meter
	closer  *usage.Closer
	server  *http.Server
}

// New returns a daemon that is ready to run.
func New(opts Options) *Daemon {
	d := &Daemon{opts: opts}
	d.config = config.NewManager(config.Options{Host: opts.Host, Store: opts.Store, Log: opts.Log})
	d.targets = targetwatch.New(opts.Targets, opts.Log, targetsEvery)
	d.meter = usage.NewMeter(opts.UsageWindow)
	d.closer = usage.NewCloser(usage.CloserOptions{
		Meter: d.meter, Store: opts.Store, Sink: opts.Usage, Log: opts.Log,
		Shard: ident.Duty("usage/" + string(opts.Host)), Grace: opts.UsageGrace, Every: closeEvery,
	})
	d.server = &http.Server{Handler: d.handler(), ReadHeaderTimeout: headerTimeout}
	return d
}

// handler returns the callers' handler.
func (d *Daemon) handler() http.Handler {
	router := routing.NewLeastOutstanding(d.targets)
	transport := &http.Transport{DisableCompression: true}
	return entry.New(entry.Options{
		Config: d.config, Admission: admission.Unlimited{}, Relay: relay.New(router, transport),
		Recorder: d.meter, Log: d.opts.Log, MaxBodyBytes: maxBodyBytes,
	})
}

// Run serves until ctx ends, and returns the first failure of a part.
func (d *Daemon) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.config.Run(ctx) })
	group.Go(func() error { return d.targets.Run(ctx) })
	group.Go(func() error { return d.closer.Run(ctx) })
	group.Go(func() error { return d.serve(ctx) })
	return group.Wait()
}

// serve takes callers' connections until ctx ends.
func (d *Daemon) serve(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, func() { _ = d.server.Close() })
	defer stopped()
	err := d.server.Serve(d.opts.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
