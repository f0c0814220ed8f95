package rig

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/claims"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/standin/engine"
	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/ledger"
	"amaranthplank.example/amaranthplank/pkg/standin/pipenet"
	"amaranthplank.example/amaranthplank/pkg/target"
)

const (
	// slots is the number of requests that an engine runs concurrently.
	slots = 64
	// defaultTokens is the length of the response to a request that sets no
	// max_tokens.
	defaultTokens = 5
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 64 << 10
)

// Rig is the request path of one daemon, connected to simulated targets.
type Rig struct {
	Network  *pipenet.Network
	Config   *Config
	View     *View
	Usage    *Recorder
	Engines  []*engine.Engine
	Ledgers  []*ledger.Ledger
	Faults   map[ident.Target]*faulttarget.Target
	Registry *prometheus.Registry
	// Handler serves callers' requests at DaemonAddress.
	Handler http.Handler

	opts    Options
	client  *target.Client
	servers []*http.Server
	group   errgroup.Group
	// running counts the requests in progress on all servers.
	running sync.WaitGroup
	// mu guards closed, which is set before Close waits for running: no request may
	// be added after that.
	mu     sync.Mutex
	closed bool
	stop   context.CancelFunc
}

// DaemonAddress is the address at which the daemon accepts callers' connections.
const DaemonAddress = "daemon:80"

// New starts a rig.
func New(opts Options) (*Rig, error) {
	r := &Rig{
		Network: pipenet.New(), Config: &Config{opts: opts.withDefaults()}, View: &View{}, Usage: &Recorder{},
		Faults: make(map[ident.Target]*faulttarget.Target), Registry: prometheus.NewRegistry(), opts: opts.withDefaults(),
	}
	if err := r.Config.Set("one", "two"); err != nil {
		return nil, err
	}
	r.startTargets()
	r.client = target.NewClientWith(r.Network.Dial)
	relayOpts := relay.Options{
		Router: r.router(), Client: r.client, Config: r.Config, Log: r.opts.Log, Registerer: r.Registry,
		Protocol: relay.EngineProtocol{Credential: "system"}, MarkComplete: entry.MarkAnswered,
	}
	if r.opts.NewStreamMover != nil {
		relayOpts.StreamMover = r.opts.NewStreamMover(r)
	}
	relayer := relay.New(relayOpts)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.group.Go(func() error { return relayer.Run(ctx) })
	var registry *claims.Registry
	if r.opts.Store != nil {
		registry = claims.New(claims.Options{Store: r.opts.Store, Log: r.opts.Log})
		r.group.Go(func() error { return registry.Run(ctx) })
	}
	r.Handler = entry.New(entry.Options{
		Config: r.Config, Admission: r.opts.Admission, Relay: relayer, Recorder: r.Usage, Log: r.opts.Log,
		Registerer: r.Registry, MaxBodyBytes: maxBodyBytes, Claims: registry,
	})
	r.serve(DaemonAddress, entry.NewServer(r.Handler, entry.ServerOptions{}))
	return r, nil
}

// router returns the router of the options, or by default
// routing.LeastOutstanding.
func (r *Rig) router() routing.Router {
	if r.opts.NewRouter != nil {
		return r.opts.NewRouter(r)
	}
	return routing.NewLeastOutstanding(r.View)
}

// startTargets starts the engines and ledgers and publishes them in the view.
func (r *Rig) startTargets() {
	var states []fleet.TargetState
	for i := range r.opts.Engines {
		name := ident.Target(fmt.Sprintf("engine-%d", i+1))
		e := engine.New(engine.Options{
			Target: name, Model: Model, TokenInterval: r.opts.TokenInterval, Slots: slots, DefaultTokens: defaultTokens, Echo: true,
			Peers: r.Caller(),
		})
		r.Engines = append(r.Engines, e)
		states = append(states, r.startTarget(external.TargetRecord{Target: name, Model: Model}, e))
	}
	for i := range r.opts.Ledgers {
		name := ident.Target(fmt.Sprintf("ledger-%d", i+1))
		l := ledger.New()
		r.Ledgers = append(r.Ledgers, l)
		states = append(states, r.startTarget(external.TargetRecord{Target: name, Service: Service}, l))
	}
	r.View.current.Store(fleet.NewSnapshot(states))
}

// startTarget serves one target behind a fault-injecting handler.
func (r *Rig) startTarget(record external.TargetRecord, handler http.Handler) fleet.TargetState {
	record.Address = string(record.Target) + ":80"
	faulty := faulttarget.New(handler, r.opts.LateDelay)
	r.Faults[record.Target] = faulty
	r.serve(record.Address, &http.Server{Handler: faulty, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute})
	return fleet.TargetState{Record: record}
}

// serve serves an address until Close.
func (r *Rig) serve(address string, server *http.Server) {
	listener := r.Network.Listen(address)
	inner := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.begin() {
			panic(http.ErrAbortHandler)
		}
		defer r.running.Done()
		inner.ServeHTTP(w, req)
	})
	r.servers = append(r.servers, server)
	r.group.Go(func() error { return server.Serve(listener) })
}

// begin counts a running request, and reports false once Close waits for them.
func (r *Rig) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.running.Add(1)
	}
	return !r.closed
}

// Control returns a client that sends orders to the engines.
func (r *Rig) Control() *target.Control { return target.NewControl(r.client, "system") }

// Caller returns an HTTP client that dials over the in-memory network.
func (r *Rig) Caller() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: r.Network.Dial, DisableCompression: true}}
}

// Close stops all servers and background loops, cancels the engines' streams
// and waits for running requests to return.
func (r *Rig) Close() {
	r.stop()
	r.client.Close()
	for _, server := range r.servers {
		_ = server.Close()
	}
	for _, e := range r.Engines {
		e.DropStreams()
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.running.Wait()
	_ = r.group.Wait()
}
