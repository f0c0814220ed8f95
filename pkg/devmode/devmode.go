package devmode

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/daemon"
	"amaranthplank.example/amaranthplank/pkg/standin/hosts"
)

const (
	// usageWindow is the length of a usage window.
	usageWindow = 10 * time.Second
	// usageGrace is how long after its end a window is closed.
	usageGrace = 2 * time.Second
)

// Options shape a development run.
type Options struct {
	// Daemons is how many daemons run; zero runs the stand-ins alone.
	Daemons int
	// Port is the first daemon's port; the others follow it.
	Port int
	// PlatformPort is where the platform is served over HTTP for daemons in
	// other processes; zero takes a free one.
	PlatformPort int
	Log          *slog.Logger
	// Out takes the key and the example commands.
	Out io.Writer
}

// Run runs the stand-ins and the daemons until ctx ends.
func Run(ctx context.Context, opts Options) error {
	group, ctx := errgroup.WithContext(ctx)
	s, err := startStandIns(ctx, group)
	if err != nil {
		return err
	}
	slots, err := openSlots(opts)
	if err != nil {
		return err
	}
	s.hosts = hosts.New(hostLag, recordsOf(slots)...)
	base, err := s.servePlatform(ctx, group, opts.PlatformPort)
	if err != nil {
		return err
	}
	secret := []byte(rand.Text())
	for _, slot := range slots {
		if err := startDaemon(ctx, group, opts, s, secret, slot); err != nil {
			return err
		}
	}
	printExamples(opts.Out, base, fmt.Sprintf("http://%s:%d", loopback, opts.Port), s.key)
	return group.Wait()
}

// startDaemon starts a daemon in this process.
func startDaemon(ctx context.Context, group *errgroup.Group, opts Options, s *standIns, secret []byte, slot slot) error {
	record := slot.record
	d, err := daemon.New(daemon.Options{
		Host: record.Host, FailureDomain: record.FailureDomain, Region: record.Region,
		Log: opts.Log.With("host", record.Host), Listener: slot.callers, AdminListener: slot.operators,
		PeerListener: slot.peers, PeerSecret: secret,
		Store: s.store, Targets: s.targets, Usage: s.usage, Hosts: s.hosts, Weights: s.weights,
		UsageWindow: usageWindow, UsageGrace: usageGrace,
	})
	if err != nil {
		return err
	}
	opts.Log.Info("daemon started", "host", record.Host, "callers", slot.callers.Addr(), "operators", slot.operators.Addr())
	group.Go(func() error { return d.Run(ctx) })
	return nil
}
