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
	"golang.org/x/time/rate"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/bytebudget"
	"amaranthplank.example/amaranthplank/pkg/capacity"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/drain"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/exclusion"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/overload"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/presence"
	"amaranthplank.example/amaranthplank/pkg/presenceprobe"
	"amaranthplank.example/amaranthplank/pkg/registry"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/storeera"
	"amaranthplank.example/amaranthplank/pkg/storemeter"
	"amaranthplank.example/amaranthplank/pkg/tally"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/targetlimit"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

const (
	// maxBodyBytes bounds a caller's request body unless the configuration sets
	// another bound.
	maxBodyBytes = 8 << 20
	// headerTimeout bounds the time to read a request's header on the ready and
	// admin listeners.
	headerTimeout = 2 * time.Second
)

// Gateway is an amaranthplank process.
type Gateway struct {
	opts Options
	// builtin holds the knobs used before the first configuration is loaded. Knobs
	// are the values that its defaults and exceptions set.
	builtin  config.Knobs
	registry *prometheus.Registry
	// store is the store of opts, guarded against its return from an older copy.
	store   *storeera.Guard
	targets *registry.Registry
	mirror  *mirror.Mirror
	router  *routing.CombinedRouter
	relay   *relay.Relay
	callers *drain.Server
	// overload bounds what callers make the process hold.
	overload *overload.Budget
	// incarnation rises with each start of the host's process.
	incarnation   ident.Incarnation
	time          *tally.SteadyWallClock
	timeCorrector *tally.TimeCorrector
	counter       *tally.Counter
	presence      *presence.View
	announcer     *presence.Announcer
	duties        *dutyManager
	backlog       *backlog.Exchange
	capacity      *capacity.Book
	capacityLog   *rate.Limiter
	limits        atomic.Pointer[Limits]
	retryShares   *retryShares
	shareLog      *shareLog
	readiness     readiness
	metrics       *metrics
	// links is nil until runLinks has created the links to other daemons.
	links         atomic.Pointer[peer.Manager]
	standbyWriter *tally.StandbyWriter
	windows       *tally.WindowMemory
	exclusions    *exclusion.Announcer
	poison        poisonParts
	prober        *presenceprobe.Prober
	// targetLimits holds the limits that targets state for the fleet.
	targetLimits *targetlimit.Table
	origins      streamOrigins
	resumables   atomic.Pointer[resumable]
	// quotas enforces the quotas of workspaces.
	quotas quotas
}

// New returns a gateway that is ready to run.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, builtin: config.BuiltinKnobs(), registry: prometheus.NewRegistry()}
	g.store = storeera.New(storemeter.New(opts.Store, g.registry), opts.Log, g.registry)
	g.opts.Store = g.store
	g.ApplyLimits(opts.Limits)
	g.retryShares = newRetryShares(time.Now(), opts.PropagationBound)
	g.shareLog = &shareLog{log: opts.Log}
	g.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	g.incarnation = ident.Incarnation(time.Now().UnixNano())
	g.time = tally.NewSteadyWallClock(clock.Boot{})
	g.timeCorrector = tally.NewTimeCorrector(g.time, opts.Log)
	g.targets = registry.New(opts.Registry)
	g.initStore()
	g.initPeers()
	g.initRouting()
	g.metrics = g.registerMetrics()
	g.quotas = g.newQuotas(admission.UnlimitedController{})
	g.duties = g.newDutyManager()
	g.overload = overload.New(overload.LimitsFor(opts.MemoryBytes, entry.DescriptorLimit(opts.FileDescriptors)), opts.Log, g.registry)
	g.callers = drain.New(drain.Options{
		Server:   entry.NewServer(g.newHandler(), entry.ServerOptions{Config: opts.Published, Registerer: g.registry}),
		Listener: g.overload.Callers().Listener(opts.Listener), Log: opts.Log,
		Grace: opts.StopGrace, EndingMargin: entry.EndingMargin, BalancerDelay: opts.StopGrace * balancerShare / graceParts, MaxCloseDelay: opts.StopGrace * closeShare / graceParts,
		OnStop:    []drain.Hook{{Name: "release the duties", Run: g.duties.release}},
		OnDrained: []drain.Hook{{Name: "write the last usage checkpoint", Run: g.counter.Leave}},
	})
	return g
}

// initStore creates the components that write to the store and those that follow it.
func (g *Gateway) initStore() {
	opts := &g.opts
	g.presence = presence.NewView(opts.Host, opts.Log)
	g.announcer = presence.NewAnnouncer(opts.Store, presence.Record{
		Host: opts.Host, FailureDomain: opts.FailureDomain, Incarnation: g.incarnation, Address: opts.PeerListener.Addr().String(),
	}, opts.Log)
	g.counter = tally.NewCounter(tally.CounterOptions{
		Host: opts.Host, Incarnation: g.incarnation, Store: opts.Store, Time: g.time, Window: opts.UsageWindow,
		Daemons: g.presence.Daemons, HandOver: func(message tally.CheckpointMessage) { g.sendCheckpoint(message) }, Log: opts.Log,
	})
	g.standbyWriter = tally.NewStandbyWriter(opts.Store, opts.Log)
	g.standbyWriter.ForwardWith(g.sendCheckpoint)
	g.windows = tally.NewWindowMemory(opts.Store, g.time, opts.Log)
	g.exclusions = exclusion.New(exclusion.Options{
		Host: opts.Host, Store: opts.Store, OnAnnouncement: func(exclusions []backlog.Exclusion) { g.router.Models.Exclude(exclusions) }, Log: opts.Log,
	})
	g.poison = g.newPoisonParts()
	g.origins = g.newStreamOrigins()
	// The records come before the targets, which make the process ready.
	g.mirror = mirror.New(mirror.Options{
		Store: opts.Store, Pause: mirror.PauseFor(opts.PropagationBound), CallTimeout: mirror.DefaultCallTimeout, Log: opts.Log,
	}, g.poison.records, g.origins.records, g.origins.copy, opts.ConfigListener, g.targets, g.presence, g.counter, g.windows, tally.NewCheckpointMemory(g.standbyWriter, opts.Log), g.exclusions, g.poison.copy)
}

// initPeers creates the exchange of reports with linked daemons. runLinks adds the
// links later.
func (g *Gateway) initPeers() {
	g.backlog = backlog.New(backlog.Options{
		LocalReport: g.localReport, OnReport: g.observeReport, Daemons: g.presence.Daemons, Log: g.opts.Log,
	})
}

// initRouting creates the components that choose targets and relay requests to them.
func (g *Gateway) initRouting() {
	opts := &g.opts
	g.targetLimits = g.newTargetLimits()
	g.capacityLog = rate.NewLimiter(rate.Every(capacityLogInterval), 1)
	g.capacity = capacity.NewBook(g.capacityChanged)
	g.router = routing.New(routing.Options{
		View: g.targets, ViewAge: g.storeAge, Domain: opts.FailureDomain, Now: time.Now, Random: newRandom(),
		Knobs:   func() *config.RoutingKnobs { return &g.knobs(config.Selector{}).Routing },
		Daemons: g.presence.Daemons, PeerBacklog: g.backlog.RemoteOutstanding, ReportingShare: g.backlog.Coverage,
		OnEjected: g.targetEjected, OnNotice: g.targetNoticed, OnPresence: g.presenceChanged, OnEnded: g.targetEnded, PrefillTakesPromptsOnly: true, Limits: g.targetLimits, Capacity: g.capacity,
	})
	g.prober = presenceprobe.New(g.router, target.NewDialer().DialContext)
	g.relay = relay.New(relay.Options{
		Router: g.router, Client: target.NewClient(), Config: opts.Published, Protocol: opts.Protocol,
		Log: opts.Log, Registerer: g.registry, OnRun: g.counter.RequestStarted,
		RetryBudget: g.retryBudget, CrashGuard: g.poison.detector, StreamOrigins: g.origins.table,
		Memory:  bytebudget.New(int64(responseMemoryShare * float64(opts.MemoryBytes))),
		Waiting: g.newWaiter(), Ending: func() context.Context { return g.callers.Ending() },
	})
}

const (
	// graceParts is the number of parts into which StopGrace is divided. After
	// balancerShare parts the balancer sends no more requests. After closeShare parts
	// the listener closes even if requests still arrive. After releaseShare parts
	// duties that could not be released are left to expire.
	graceParts    = 16
	balancerShare = 5
	closeShare    = 10
	releaseShare  = 13
)

// responseMemoryShare is the part of the process's memory that responses may take before they are
// forwarded. Each growing one takes up to twice its part for a moment.
const responseMemoryShare = 0.1

// newHandler returns the handler for callers' requests.
func (g *Gateway) newHandler() http.Handler {
	return entry.New(entry.Options{
		Format: g.opts.Format, Config: g.opts.Published, Admission: g.quotas.controller, Relay: g.relay,
		Recorder: noRecorder{}, Log: g.opts.Log, Registerer: g.registry, Ready: g.checkServing, TimeLeft: g.timeLeft, BalancerAway: g.balancerAway, MaxBodyBytes: maxBodyBytes, Overload: g.overload,
	})
}

// timeLeft returns how much time requests have until the process is killed, or false if
// no stop was requested.
func (g *Gateway) timeLeft() (time.Duration, bool) { return g.callers.TimeLeft() }

// balancerAway reports whether the balancer sends this stopping daemon no more requests.
func (g *Gateway) balancerAway() bool { return g.callers.BalancerAway() }

// noRecorder discards usage records.
type noRecorder struct{}

// Record does nothing.
func (noRecorder) Record(usage.Record) {}

// newRandom returns a random source with a random seed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// knobs returns the configured knobs for a selector, or the built-in ones before
// the first configuration is loaded.
func (g *Gateway) knobs(selector config.Selector) *config.Knobs {
	snapshot := g.opts.Published.Current()
	if snapshot == nil {
		return &g.builtin
	}
	return snapshot.Knobs(selector)
}

// errStarting is returned until the configuration and the targets are loaded.
var errStarting = fault.New(fault.Unavailable, "the configuration or the targets are not loaded yet",
	"send the request again after the time in Retry-After").WithRetryAfter(time.Second)

// checkServing returns an error if requests can't be served yet.
func (g *Gateway) checkServing() error {
	if g.opts.Published.Current() == nil || !g.targets.Loaded() {
		return errStarting
	}
	return nil
}

// checkReady returns an error if the balancer must not send requests.
func (g *Gateway) checkReady() error {
	if err := g.callers.Ready(); err != nil {
		return err
	}
	return g.checkServing()
}

// Targets returns the view of the targets.
func (g *Gateway) Targets() fleet.View { return g.targets }

// Stop starts a graceful shutdown and returns at once. Run returns when it is complete.
func (g *Gateway) Stop() { g.callers.Stop() }

// Run serves until a graceful shutdown is complete, or until ctx ends, which aborts
// running requests. It returns the first error of a component.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{
		g.mirror.Run, g.relay.Run, g.duties.run, g.announcer.Run, g.counter.Run, g.backlog.Run, g.runLinks,
		g.standbyWriter.Run, g.windows.Run, g.runPoisonParts, g.prober.Run, g.targetLimits.Run, g.origins.run, g.runQuotas,
	} {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		clock.WatchSteps(ctx, clock.Boot{}, g.opts.Log)
		return nil
	})
	group.Go(func() error {
		return serve(ctx, g.opts.ReadyHandler(g.reportReadiness), g.overload.Readiness().Listener(g.opts.ReadyListener))
	})
	if g.opts.AdminListener != nil {
		group.Go(func() error {
			return serve(ctx, operator.New(g.registry, g.checkReady), g.overload.Operator().Listener(g.opts.AdminListener))
		})
	}
	group.Go(func() error {
		defer cancel()
		return g.callers.Run(ctx)
	})
	return group.Wait()
}

// serve accepts connections until ctx ends.
func serve(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := overload.NewServer(handler, headerTimeout)
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
