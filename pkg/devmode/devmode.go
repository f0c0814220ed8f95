package devmode

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/daemon"
	"amaranthplank.example/amaranthplank/pkg/standin/hosts"
)

// Options configures a development run.
type Options struct {
	// Daemons is the number of daemons; zero runs only the stand-ins.
	Daemons int
	// Port is the first daemon's port; the others use the following ports.
	Port int
	// PlatformPort is the port on which the stand-in platform is served over HTTP
	// for daemons in other processes; zero picks a free one.
	PlatformPort int
	// Stop requests a graceful shutdown of all daemons when it is closed.
	Stop <-chan struct{}
	Log  *slog.Logger
	// Out receives the platform's base URL, the workspace key and example commands.
	Out io.Writer
}

// Run runs the stand-ins and the daemons until a graceful shutdown is complete or ctx
// ends.
func Run(ctx context.Context, opts Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s, err := startStandIns(ctx, group)
	if err != nil {
		return err
	}
	listeners, err := openListeners(opts)
	if err != nil {
		return err
	}
	s.hosts = hosts.New(hostListDelay, recordsOf(listeners)...)
	base, err := s.servePlatform(ctx, group, opts.PlatformPort)
	if err != nil {
		return err
	}
	secret := []byte(rand.Text())
	var daemons sync.WaitGroup
	for _, l := range listeners {
		d, err := newDaemon(opts, s, secret, l)
		if err != nil {
			return err
		}
		daemons.Add(1)
		group.Go(func() error {
			defer daemons.Done()
			return runDaemon(ctx, opts.Stop, d)
		})
	}
	group.Go(func() error {
		select {
		case <-opts.Stop:
			daemons.Wait()
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	printExamples(opts.Out, base, fmt.Sprintf("http://%s:%d", loopback, opts.Port), s.key)
	return group.Wait()
}

// newDaemon creates the daemon that serves the given listeners.
func newDaemon(opts Options, s *standIns, secret []byte, l hostListeners) (*daemon.Daemon, error) {
	record := l.record
	opts.Log.Info("daemon starts", "host", record.Host, "callers", l.callers.Addr(), "operators", l.operators.Addr())
	return daemon.New(daemon.Options{
		Host: record.Host, FailureDomain: record.FailureDomain, Region: record.Region,
		Log: opts.Log.With("host", record.Host), Listener: l.callers, AdminListener: l.operators,
		PeerListener: l.peers, PeerSecret: secret,
		Store: s.store, Targets: s.targets, Usage: s.usage, Hosts: s.hosts, Weights: s.weights,
	})
}

// runDaemon runs a daemon until its graceful shutdown is complete or ctx ends.
func runDaemon(ctx context.Context, stop <-chan struct{}, d *daemon.Daemon) error {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			d.Stop()
		case <-ended:
		}
	}()
	return d.Run(ctx)
}
