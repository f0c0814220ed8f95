// Command amaranthctl is the operators' tool.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ctl"
)

// clientTimeout bounds one call to a daemon.
const clientTimeout = 30 * time.Second

func main() {
	os.Exit(int(run()))
}

// run runs one command.
func run() ctl.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := ctl.Env{Out: os.Stdout, Err: os.Stderr, Client: &http.Client{Timeout: clientTimeout}}
	return ctl.Run(ctx, env, ctl.Commands(), os.Args[1:])
}
