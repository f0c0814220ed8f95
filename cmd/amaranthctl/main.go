// Command amaranthctl is the command line tool for operators.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ctl"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// clientTimeout bounds one request to a daemon.
const clientTimeout = 30 * time.Second

func main() {
	os.Exit(int(run()))
}

// run runs the command that the arguments name.
func run() ctl.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	transport := http.DefaultTransport.(*http.Transport).Clone() //nolint:forcetypeassert // It is one by default.
	env := ctl.Env{Out: os.Stdout, Err: os.Stderr, Client: &http.Client{Timeout: clientTimeout, Transport: responsecheck.New(transport)}}
	return ctl.Run(ctx, env, ctl.Commands(), os.Args[1:])
}
