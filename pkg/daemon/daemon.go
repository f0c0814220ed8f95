package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/burn"
	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/drain"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// headerTimeout bounds how long an operator's client takes to send its headers.
const headerTimeout = 10 * time.Second

// Daemon is one process of the system.
type Daemon struct {
	opts Options
	// incarnation rises with each start of the host's process.
	incarnation ident.Incarnation
	builtin     config.Knobs
	registry    *prometheus.Registry
	config      *config.Manager
	links       *peer.Manager
	members     *membership.Manager
	targets     *targetwatch.Watcher
	router      *routing.CombinedRouter
	spread      *dissemination.Manager
	running     *runningShare
	burn        *burn.Manager
	relay       *relay.Relay
	acceptance  *config.Acceptance
	meter       *usage.Source
	tails       *usage.TailReplica
	claims      *claims.Registry
	callers     *drain.Server
	duties      *duties
	engines     *orders.EngineManager
	supply      *orders.SupplyManager
	admin       *http.Server
}

// New returns a daemon that is ready to run. It fails with kind Invalid where
// the options leave its links open to anyone.
func New(opts Options) (*Daemon, error) {
	d := &Daemon{
		opts: opts, incarnation: ident.Incarnation(time.Now().UnixNano()),
		builtin: config.BuiltinKnobs(), registry: prometheus.NewRegistry(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := d.connect(); err != nil {
		return nil, err
	}
	d.newControl()
	d.newUsage()
	d.newView()
	d.newOrders()
	d.newSupply()
	d.duties = d.newDuties(d.works)
	d.callers = drain.New(drain.Options{
		Server: entry.NewServer(d.newHandler()), Listener: opts.Listener, Log: opts.Log,
		BalancerDelay: opts.BalancerDelay,
		OnStop:        []drain.Hook{{Name: "hand over the duties", Run: d.duties.handOver}},
		OnDrained: []drain.Hook{
			{Name: "leave the membership", Run: func(ctx context.Context) error { d.members.Leave(ctx); return nil }},
		},
	})
	d.admin = &http.Server{Handler: d.newOperator(), ReadHeaderTimeout: headerTimeout}
	return d, nil
}

// Stop asks for a planned stop and returns at once. Run returns when it is
// complete.
func (d *Daemon) Stop() { d.callers.Stop() }

// serving tells whether requests may be served: the control state must be
// fresh.
func (d *Daemon) serving() error { return d.config.Ready() }

// ready tells whether the balancer may send requests: beside what serving
// needs, the daemon must not be stopping.
func (d *Daemon) ready() error {
	if err := d.callers.Ready(); err != nil {
		return err
	}
	return d.serving()
}

// Run serves until a planned stop is complete, or until ctx ends, which cuts
// what is running. It returns the first failure of a part.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d.runPeers(ctx, group)
	parts := []func(context.Context) error{
		d.config.Run, d.spread.Run, d.running.run, d.targets.Run, d.meter.Run, d.tails.Run,
		d.relay.Run, d.claims.Run, d.engines.Run, d.burn.Run, d.duties.run,
	}
	for _, run := range parts {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error { return serve(ctx, d.admin, d.opts.AdminListener) })
	group.Go(func() error {
		defer cancel()
		return d.callers.Run(ctx)
	})
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
