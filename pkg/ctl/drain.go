package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/drain"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// drainPoll is the interval at which the status of a stopping daemon is polled.
const drainPoll = 500 * time.Millisecond

// drainFlags are the flags of drain.
type drainFlags struct {
	operator string
	wait     bool
	json     bool
}

// drainCommand stops one daemon gracefully, without interrupting requests.
func drainCommand() Command {
	return Command{
		Name: "drain", Summary: "stop a daemon without interrupting requests",
		Setup: func(flags *flag.FlagSet) Action {
			f := &drainFlags{}
			flags.StringVar(&f.operator, "operator", "http://127.0.0.1:9090", "base URL of the daemon's operator address")
			flags.BoolVar(&f.wait, "wait", false, "wait until the daemon has ended")
			flags.BoolVar(&f.json, "json", false, "print the status as JSON")
			return f.run
		},
	}
}

// run requests the stop and, with -wait, polls until it is complete. Once the stop
// has begun, a daemon that can't be reached counts as ended.
func (f *drainFlags) run(ctx context.Context, env Env, _ []string) ExitCode {
	status, err := f.call(ctx, env, http.MethodPost)
	if err != nil {
		env.errorf("the request to stop failed: %v; check -operator", err)
		return ExitFailed
	}
	f.print(env, status)
	for f.wait && status.Phase != drain.Drained {
		select {
		case <-ctx.Done():
			return ExitUnknown
		case <-time.After(drainPoll):
		}
		next, err := f.call(ctx, env, http.MethodGet)
		if malformed := responsecheck.As(err); malformed != nil && !malformed.ConnectionEnded() {
			env.errorf("the daemon's status can't be read: %v; check -operator", err)
			return ExitUnknown
		}
		if err != nil && ctx.Err() == nil {
			return ExitOK
		}
		if next != status {
			f.print(env, next)
		}
		status = next
	}
	return ExitOK
}

// call sends one request to the daemon and returns its status.
func (f *drainFlags) call(ctx context.Context, env Env, method string) (drain.Status, error) {
	var status drain.Status
	request, err := http.NewRequestWithContext(ctx, method, f.operator+"/v1/drain", nil)
	if err != nil {
		return status, err
	}
	response, err := env.Client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, errors.Errorf("the daemon responded with %s", response.Status)
	}
	return status, responsecheck.DecodeJSON(response.Body, maxResponseBytes, &status)
}

// print prints the status as a line of text or JSON.
func (f *drainFlags) print(env Env, status drain.Status) {
	if !f.json {
		env.printf("%s, %d requests running", status.Phase, status.Running)
		return
	}
	text, err := json.Marshal(status)
	if err == nil {
		env.printf("%s", text)
	}
}
