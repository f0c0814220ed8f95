package devmode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"amaranthplank.example/amaranthplank/pkg/daemon"
	"amaranthplank.example/amaranthplank/pkg/ident"
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
	base, err := s.servePlatform(ctx, group, opts.PlatformPort)
	if err != nil {
		return err
	}
	for i := range opts.Daemons {
		if err := startDaemon(ctx, group, opts, s, i); err != nil {
			return err
		}
	}
	printExamples(opts.Out, base, fmt.Sprintf("http://%s:%d", loopback, opts.Port), s.key)
	return group.Wait()
}

// startDaemon starts the i-th daemon in this process.
func startDaemon(ctx context.Context, group *errgroup.Group, opts Options, s *standIns, i int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, opts.Port+i))
	if err != nil {
		return errors.Wrap(err, "listen for callers; choose another -dev-port")
	}
	host := ident.Host(fmt.Sprintf("host-%d", i+1))
	d := daemon.New(daemon.Options{
		Host: host, FailureDomain: domainOf(i), Region: devRegion, Log: opts.Log.With("host", host),
		Listener: listener, Store: s.store, Targets: s.targets, Usage: s.usage,
		UsageWindow: usageWindow, UsageGrace: usageGrace,
	})
	group.Go(func() error { return d.Run(ctx) })
	return nil
}
