// Command amaranthplank is the daemon that serves requests.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"amaranthplank.example/amaranthplank/pkg/daemon"
	"amaranthplank.example/amaranthplank/pkg/devmode"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/settings"
)

func main() {
	// net/http logs data that a target sends after the end of a response, which may
	// belong to another caller. It logs through package log, so that output is
	// discarded; the daemon logs through log/slog.
	log.SetOutput(io.Discard)
	// A hangup asks a process to read its files again. It must not end one that has none
	// to read, or that has not begun to watch them yet.
	signal.Ignore(syscall.SIGHUP)
	if err := run(os.Args[1:]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "amaranthplank:", err)
		os.Exit(1)
	}
}

// run parses the command line and runs until a signal requests a shutdown.
func run(args []string) error {
	flags := flag.NewFlagSet("amaranthplank", flag.ExitOnError)
	file := flags.String("settings", "", "the `file` with this process's settings")
	hosted := flags.Bool("platform", false, "run on the platform, with the settings file that an environment variable names")
	policy := flags.String("policy", "deploy/policy.jsonc", "with -platform, the `file` with the fleet's defaults and exceptions")
	level := slog.LevelInfo
	flags.TextVar(&level, "log-level", level, "with -platform, the minimum level that is logged")
	check := flags.Bool("check", false, "with -platform, check the settings and the policy, then exit")
	dev := flags.Bool("dev", false, "run with stand-ins for the platform and the targets")
	var opts devmode.Options
	flags.IntVar(&opts.Daemons, "dev-daemons", 1, "with -dev, how many daemons to run; 0 runs the stand-ins alone")
	flags.IntVar(&opts.Port, "dev-port", 8080, "with -dev, the first daemon's port")
	flags.IntVar(&opts.PlatformPort, "dev-platform-port", 0, "with -dev, the port that serves the platform to other processes; 0 picks a free one")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ctx, abort := context.WithCancel(context.Background())
	defer abort()
	stop := watchSignals(abort)
	switch {
	case *hosted && *file == "" && !*dev:
		return runHosted(ctx, stop, hostedFlags{policy: *policy, check: *check, level: level})
	case *dev && *file == "":
		opts.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
		opts.Out = os.Stdout
		opts.Stop = stop
		return devmode.Run(ctx, opts)
	case *file != "" && !*dev:
		return serve(ctx, stop, *file)
	default:
		flags.Usage()
		return fault.New(fault.Invalid, "the command line selects no mode, or more than one", "pass exactly one of -platform, -settings FILE and -dev")
	}
}

// watchSignals returns a channel that is closed on the first SIGINT or SIGTERM,
// which requests a graceful shutdown. A SIGINT after that calls abort. A SIGTERM does
// not, since a platform may repeat its request to stop.
func watchSignals(abort func()) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		for received := range signals {
			if received == os.Interrupt {
				abort()
			}
		}
	}()
	return stop
}

// serve runs a daemon with the settings of a file until a graceful shutdown is
// complete.
func serve(ctx context.Context, stop <-chan struct{}, file string) error {
	s, err := settings.Read(file)
	if err != nil {
		return err
	}
	opts, err := daemon.FromSettings(s, s.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	d, err := daemon.New(opts)
	if err != nil {
		return err
	}
	go func() {
		<-stop
		d.Stop()
	}()
	return d.Run(ctx)
}
