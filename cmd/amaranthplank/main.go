// Command amaranthplank is the serving daemon.
package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"amaranthplank.example/amaranthplank/pkg/devmode"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		log.Error("stopped", "error", err)
		os.Exit(1)
	}
}

// run reads the command line and runs until a signal asks to stop.
func run(log *slog.Logger) error {
	dev := flag.Bool("dev", false, "run with stand-ins for the platform and the targets")
	daemons := flag.Int("dev-daemons", 1, "with -dev, how many daemons to run; 0 runs the stand-ins alone")
	port := flag.Int("dev-port", 8080, "with -dev, the first daemon's port")
	platformPort := flag.Int("dev-platform-port", 0, "with -dev, the port that serves the platform to other processes; 0 takes a free one")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !*dev {
		flag.Usage()
		os.Exit(2)
	}
	return devmode.Run(ctx, devmode.Options{
		Daemons: *daemons, Port: *port, PlatformPort: *platformPort, Log: log, Out: os.Stdout,
	})
}
