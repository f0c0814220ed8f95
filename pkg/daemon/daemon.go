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
	"amaranthplank.example/amaranthplank/pkg/overload"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// headerTimeout bounds how long a client of the operator API may take to send its
// headers.
const headerTimeout = 10 * time.Second

// Daemon is one amaranthplank process with all its components.
type Daemon struct {
	opts Options
	// incarnation is the start time of the process in Unix nanoseconds, so it
	// increases with each restart.
	incarnation ident.Incarnation
	// builtin holds the knobs used before the first configuration is loaded. Knobs
	// are the values that its defaults and exceptions set.
	builtin      config.Knobs
	registry     *prometheus.Registry
	config       *config.Manager
	links        *peer.Manager
	members      *membership.Manager
	targets      *targetwatch.Watcher
	router       *routing.CombinedRouter
	disseminator *dissemination.Manager
	running      *runningCounts
	burn         *burn.Manager
	relay        *relay.Relay
	acceptance   *config.Acceptance
	usageSource  *usage.Source
	tails        *usage.TailReplica
	claims       *claims.Registry
	callers      *drain.Server
	overload     *overload.Budget
	duties       *dutyManager
	engines      *orders.EngineManager
	supply       *orders.SupplyManager
	admin        *http.Server
}

// New returns a daemon that is ready to run. It fails with kind Invalid if the
// options don't secure the peer links.
func New(opts Options) (*Daemon, error) {
	d := &Daemon{
		opts: opts, incarnation: ident.Incarnation(time.Now().UnixNano()),
		builtin: config.BuiltinKnobs(), registry: prometheus.NewRegistry(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.overload = overload.New(overload.LimitsFor(0, entry.DescriptorLimit(0)), opts.Log, d.registry)
	if err := d.connect(); err != nil {
		return nil, err
	}
	d.newControlState()
	d.newUsage()
	d.newView()
	d.newOrders()
	d.newSupply()
	d.duties = d.newDutyManager(d.currentDuties)
	d.callers = drain.New(drain.Options{
		Server:   entry.NewServer(d.newHandler(), entry.ServerOptions{Config: d.config, Registerer: d.registry}),
		Listener: d.overload.Callers().Listener(opts.Listener), Log: opts.Log,
		BalancerDelay: opts.BalancerDelay,
		OnStop:        []drain.Hook{{Name: "release the duties", Run: d.duties.release}},
		OnDrained: []drain.Hook{
			{Name: "leave the membership", Run: func(ctx context.Context) error { d.members.Leave(ctx); return nil }},
		},
	})
	d.admin = overload.NewServer(d.newOperator(), headerTimeout)
	return d, nil
}

// Stop starts a graceful shutdown and returns immediately. Run returns when the
// shutdown is complete.
func (d *Daemon) Stop() { d.callers.Stop() }

// checkServing returns nil if requests may be served, which requires a fresh
// configuration.
func (d *Daemon) checkServing() error { return d.config.Ready() }

// checkReady returns nil if the load balancer may send requests: the daemon must
// be able to serve and must not be shutting down.
func (d *Daemon) checkReady() error {
	if err := d.callers.Ready(); err != nil {
		return err
	}
	return d.checkServing()
}

// Run serves until a graceful shutdown is complete, or until ctx ends, which
// aborts running requests. It returns the first error of a component.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d.runPeers(ctx, group)
	components := []func(context.Context) error{
		d.config.Run, d.disseminator.Run, d.running.run, d.targets.Run, d.usageSource.Run, d.tails.Run,
		d.relay.Run, d.claims.Run, d.engines.Run, d.burn.Run, d.duties.run,
	}
	for _, run := range components {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error { return serve(ctx, d.admin, d.overload.Operator().Listener(d.opts.AdminListener)) })
	group.Go(func() error {
		defer cancel()
		return d.callers.Run(ctx)
	})
	return group.Wait()
}

// serve accepts connections until ctx ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
