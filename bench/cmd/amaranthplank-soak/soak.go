package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/responsecheck"
	"amaranthplank.example/amaranthplank/platform/standin"
)

const (
	// contactTime is the time after a fault on a host within which promises with a time
	// bound don't bind it.
	contactTime = 3 * time.Second
	// balancerTime is how long a balancer may send requests to a stopping daemon.
	balancerTime = 2 * time.Second
	// startTime is how long the daemons have to become ready.
	startTime = 20 * time.Second
	// settleTime is how long the run continues after the last fault.
	settleTime = 6 * time.Second
)

// options configure a run.
type options struct {
	program, policy, keep string
	// kinds are the kinds of faults and changes that are injected.
	kinds                  []string
	seed                   uint64
	duration               time.Duration
	daemons, rate, network int
}

// soak is one run.
type soak struct {
	opts    options
	random  *rand.Rand
	store   *standin.Store
	cloud   *standin.Cloud
	daemons []*daemon
	verdict *verdict
	faults  sync.WaitGroup

	mu sync.Mutex
	// replicas are those that serve, all includes those that have ended.
	replicas, all []*standin.Replica
	keys          []string
	// withdrawn is when each withdrawn key was.
	withdrawn map[string]time.Time
	version   int
	timeoutMs int
	injected  map[string]int
}

// runSeed runs one schedule and returns the number of findings. It fails before it starts
// a daemon if the policy can't be used.
func runSeed(ctx context.Context, opts options) (int, error) {
	if err := checkPolicy(opts.policy); err != nil {
		return 0, err
	}
	folder, err := os.MkdirTemp(opts.keep, fmt.Sprintf("soak-%d-", opts.seed))
	if err != nil {
		return 0, err
	}
	if opts.keep == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	s := &soak{
		opts: opts, random: rand.New(rand.NewPCG(opts.seed, 22)), store: standin.NewStore(), cloud: standin.NewCloud(),
		withdrawn: map[string]time.Time{}, keys: []string{"k0", "k1", "k2"}, timeoutMs: 3000, injected: map[string]int{},
	}
	s.verdict = newVerdict(s)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	if err := s.start(ctx, folder); err != nil {
		return 0, err
	}
	traffic := s.startTraffic(ctx)
	began := time.Now()
	for _, e := range newSchedule(s.random, opts.duration, opts.kinds) {
		time.Sleep(time.Until(began.Add(e.at)))
		s.inject(ctx, e)
	}
	s.faults.Wait()
	time.Sleep(settleTime)
	cancel()
	traffic.Wait()
	return s.verdict.report(os.Stdout), nil
}

// start starts the stand-ins and the daemons, and waits until all are ready.
func (s *soak) start(ctx context.Context, folder string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.cloud}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.configure(ctx)
	for _, kind := range []string{"", "", "", "decode", "decode", "decode", "prefill", "prefill"} {
		if err := s.addReplica(ctx, kind, "v1"); err != nil {
			return err
		}
	}
	for n := range s.opts.daemons {
		d, err := newDaemon(n, &s.opts, folder, s.store, listener.Addr().String())
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// awaitReady waits until every daemon reports that it is ready.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, d := range s.daemons {
		for !ready(d) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %v; its log is %s", d.host, startTime, d.file("log"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// readinessClient reads the daemons' readiness.
var readinessClient = &http.Client{Timeout: time.Second, Transport: responsecheck.New(&http.Transport{})}

// ready reports whether a daemon responds that it is ready.
func ready(d *daemon) bool {
	response, err := readinessClient.Get(fmt.Sprintf("http://%s:%d/", d.address, standin.ReadinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the processes that the run started, and the replicas.
func (s *soak) close() {
	for _, d := range s.daemons {
		d.kill()
		_ = d.store.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		r.Close()
	}
}

// addReplica starts a replica and writes its entry.
func (s *soak) addReplica(ctx context.Context, stage, version string) error {
	service := "llm"
	if stage == "" {
		service = "app"
	}
	s.mu.Lock()
	id := fmt.Sprint("r-", len(s.all))
	s.mu.Unlock()
	r, err := standin.NewReplica(id, service, stage, version)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.replicas, s.all = append(s.replicas, r), append(s.all, r)
	s.mu.Unlock()
	return s.store.PutReplica(ctx, r, false)
}

// configure writes the operator's next configuration.
func (s *soak) configure(ctx context.Context) {
	s.mu.Lock()
	s.version++
	text := standin.Configuration(s.version, s.timeoutMs, s.keys...)
	s.mu.Unlock()
	if err := s.store.PutConfiguration(ctx, text); err != nil {
		fmt.Fprintln(os.Stderr, "configuration not written:", err)
	}
}
