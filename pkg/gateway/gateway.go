package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/absence"
	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/drain"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/presence"
	"amaranthplank.example/amaranthplank/pkg/registry"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/storemeter"
	"amaranthplank.example/amaranthplank/pkg/tally"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// maxBodyBytes bounds a caller's body where the configuration does not.
	maxBodyBytes = 8 << 20
	// headerTimeout bounds how long a client of the other addresses takes to
	// send its header.
	headerTimeout = 2 * time.Second
)

// Gateway is one process of the system.
type Gateway struct {
	opts     Options
	builtin  config.Knobs
	registry *prometheus.Registry
	targets  *registry.Registry
	mirror   *mirror.Mirror
	router   *routing.ByKind
	relay    *relay.Relay
	callers  *drain.Server
	// incarnation rises with each start of the host's process.
	incarnation ident.Incarnation
	time        *tally.TrueTime
	agreement   *tally.TimeCorrector
	counter     *tally.Counter
	presence    *presence.View
	announcer   *presence.Announcer
	duties      *duties
	backlog     *backlog.Exchange
	limits      atomic.Pointer[Limits]
	readiness   readiness
	metrics     *metrics
	// links is nil until the links to other daemons are made.
	links   atomic.Pointer[peer.Manager]
	courier *tally.StandbyWriter
	absence *absence.Announcer
}

// New returns a gateway that is ready to run.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, builtin: config.BuiltinKnobs(), registry: prometheus.NewRegistry()}
	g.opts.Store = storemeter.New(opts.Store, g.registry)
	g.ApplyLimits(opts.Limits)
	g.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.incarnation = ident.Incarnation(time.Now().UnixNano())
	g.time = tally.NewTrueTime(clock.Boot{})
	g.agreement = tally.NewTimeCorrector(g.time, opts.Log)
	g.targets = registry.New(opts.Entries)
	g.useStore()
	g.usePeers()
	g.route()
	g.metrics = g.registerMetrics()
	g.duties = g.newDuties()
	g.callers = drain.New(drain.Options{
		Server: entry.NewServer(g.newHandler()), Listener: opts.Listener, Log: opts.Log,
		BalancerDelay: opts.StopGrace * balancerShare / graceParts, MaxCloseDelay: opts.StopGrace * closeShare / graceParts,
		OnStop:    []drain.Hook{{Name: "hand over the duties", Run: g.duties.handOver}},
		OnDrained: []drain.Hook{{Name: "write the last usage", Run: g.counter.Leave}},
	})
	return g
}

// useStore makes the parts that write to the store and those that follow it.
func (g *Gateway) useStore() {
	opts := &g.opts
	g.presence = presence.NewView(opts.Host, opts.Log)
	g.announcer = presence.NewAnnouncer(opts.Store, presence.Record{
		Host: opts.Host, FailureDomain: opts.FailureDomain, Incarnation: g.incarnation, Address: opts.PeerListener.Addr().String(),
	}, opts.Log)
	g.counter = tally.NewCounter(tally.CounterOptions{
		Host: opts.Host, Incarnation: g.incarnation, Store: opts.Store, Time: g.time, Window: opts.UsageWindow,
		Daemons: g.presence.Daemons, HandOver: g.handOver, Log: opts.Log,
	})
	g.courier = tally.NewStandbyWriter(opts.Store, opts.Log)
	g.absence = absence.New(absence.Options{
		Host: opts.Host, Store: opts.Store, OnAnnouncement: func(away []backlog.Away) { g.router.Models.LeaveOut(away) }, Log: opts.Log,
	})
	g.mirror = mirror.New(mirror.Options{
		Store: opts.Store, Pause: mirror.PauseFor(opts.KnownWithin), Wait: mirror.DefaultWait, Log: opts.Log,
	}, opts.Feed, g.targets, g.presence, g.counter, g.absence)
}

// usePeers makes the part that talks to linked daemons. The links come later.
func (g *Gateway) usePeers() {
	g.backlog = backlog.New(backlog.Options{
		LocalReport: g.report, OnReport: g.heard, Daemons: g.presence.Daemons, Log: g.opts.Log,
	})
}

// route makes the parts that choose targets and carry requests to them.
func (g *Gateway) route() {
	opts := &g.opts
	g.router = routing.New(routing.Options{
		View: g.targets, Domain: opts.FailureDomain, Now: time.Now, Random: newRandom(),
		Knobs:   func() *config.RoutingKnobs { return &g.knobs(config.Selector{}).Routing },
		Daemons: g.presence.Daemons, Elsewhere: g.backlog.RemoteOutstanding, Told: g.backlog.Coverage,
		LeftOut: g.leftOut,
	})
	g.relay = relay.New(relay.Options{
		Router: g.router, Client: target.NewClient(), Config: opts.Published, Protocol: opts.Protocol,
		Log: opts.Log, Registerer: g.registry, Began: g.counter.RequestStarted,
		Budget: g.retryBudget,
	})
}

const (
	// graceParts divides the time to stop; the balancer has looked away after
	// balancerShare parts, the listener closes after closeShare at the latest, and
	// duties that can't be released by releaseShare are left to lapse.
	graceParts    = 16
	balancerShare = 5
	closeShare    = 10
	releaseShare  = 13
)

// newHandler returns the callers' handler.
func (g *Gateway) newHandler() http.Handler {
	return entry.New(entry.Options{
		Format: g.opts.Format, Config: g.opts.Published, Admission: admission.Unlimited{}, Relay: g.relay,
		Recorder: noRecorder{}, Log: g.opts.Log, Registerer: g.registry, Ready: g.serving, MaxBodyBytes: maxBodyBytes,
	})
}

// noRecorder counts nothing.
type noRecorder struct{}

// Record does nothing.
func (noRecorder) Record(usage.Record) {}

// newRandom returns a random source of its own seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// knobs returns the values in force, or the built-in ones before the first
// configuration.
func (g *Gateway) knobs(selector config.Selector) *config.Knobs {
	snapshot := g.opts.Published.Current()
	if snapshot == nil {
		return &g.builtin
	}
	return snapshot.Knobs(selector)
}

// errStarting is why a process that knows too little serves nobody.
var errStarting = fault.New(fault.Unavailable, "the configuration and the targets were not read yet",
	"send the request again after the time in Retry-After").After(time.Second)

// serving tells whether requests may be served.
func (g *Gateway) serving() error {
	if g.opts.Published.Current() == nil || !g.targets.Loaded() {
		return errStarting
	}
	return nil
}

// ready tells whether the balancer may send requests.
func (g *Gateway) ready() error {
	if err := g.callers.Ready(); err != nil {
		return err
	}
	return g.serving()
}

// Targets returns the view of the targets.
func (g *Gateway) Targets() fleet.View { return g.targets }

// Stop asks for a planned stop and returns at once. Run returns when it is
// complete.
func (g *Gateway) Stop() { g.callers.Stop() }

// Run serves until a planned stop is complete, or until ctx ends, which cuts
// what is running. It returns the first failure of a part.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{g.mirror.Run, g.relay.Run, g.duties.run, g.announcer.Run, g.counter.Run, g.backlog.Run, g.runLinks, g.courier.Run} {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		clock.WatchSteps(ctx, clock.Boot{}, g.opts.Log)
		return nil
	})
	group.Go(func() error { return serve(ctx, g.opts.ReadyHandler(g.tellBalancer), g.opts.ReadyListener) })
	if g.opts.AdminListener != nil {
		group.Go(func() error { return serve(ctx, operator.New(g.registry, g.ready), g.opts.AdminListener) })
	}
	group.Go(func() error {
		defer cancel()
		return g.callers.Run(ctx)
	})
	return group.Wait()
}

// serve takes connections until ctx ends.
func serve(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
