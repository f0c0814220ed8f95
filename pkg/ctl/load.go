package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/load"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// keyVariable is the environment variable that may hold the caller's key. There is
// no flag for it, since command lines are visible in process lists.
const keyVariable = "AMARANTHPLANK_KEY"

// loadFlags are the flags of load.
type loadFlags struct {
	plan    load.Plan
	caller  load.Caller
	keyFile string
	remote  bool
	json    bool
}

// loadCommand generates load on a daemon.
func loadCommand() Command {
	return Command{
		Name: "load", Summary: "send requests to a daemon at a mean rate and report latencies; the key comes from -key-file or " + keyVariable,
		Setup: func(flags *flag.FlagSet) Action {
			f := &loadFlags{}
			f.declare(flags)
			return f.run
		},
	}
}

// declare declares the flags.
func (f *loadFlags) declare(flags *flag.FlagSet) {
	flags.StringVar(&f.caller.URL, "url", "http://127.0.0.1:8080", "base URL of the daemon")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the workspace's key")
	flags.StringVar(&f.caller.Model, "model", "counting", "model that completions request")
	flags.StringVar(&f.caller.ServicePath, "service", "/services/ledger/balances/rice", "path of the service calls")
	flags.Float64Var(&f.plan.Rate, "rate", 10, "mean calls per second")
	flags.DurationVar(&f.plan.Duration, "time", 10*time.Second, "length of the run")
	flags.IntVar(&f.plan.Calls, "count", 100_000, "maximum number of calls")
	flags.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the schedule")
	flags.IntVar(&f.plan.Mix.PromptWords, "prompt", 200, "mean number of words in a prompt")
	flags.IntVar(&f.plan.Mix.OutputTokens, "output", 50, "mean number of tokens in a response")
	flags.Float64Var(&f.plan.Mix.Stream, "streams", 1, "share of completions that are streamed")
	flags.Float64Var(&f.plan.Mix.Service, "services", 0.1, "share of calls that go to the service")
	flags.DurationVar(&f.plan.ShiftAt, "shift-at", 0, "time after the start at which -shift-prompt and -shift-output apply; 0 means never")
	flags.IntVar(&f.plan.ShiftedMix.PromptWords, "shift-prompt", 50, "mean number of words in a prompt after the shift")
	flags.IntVar(&f.plan.ShiftedMix.OutputTokens, "shift-output", 200, "mean number of tokens in a response after the shift")
	flags.BoolVar(&f.remote, "remote", false, "allow a daemon that is not on this machine")
	flags.BoolVar(&f.json, "json", false, "print the report as JSON")
}

// run makes the calls and prints the report. It fails if any call was aborted, got
// no answer or was not started, or if no call was answered.
func (f *loadFlags) run(ctx context.Context, env Env, _ []string) ExitCode {
	f.plan.ShiftedMix.Stream, f.plan.ShiftedMix.Service = f.plan.Mix.Stream, f.plan.Mix.Service
	if err := f.check(); err != nil {
		env.errorf("%v", err)
		return ExitUsage
	}
	f.caller.Client = &http.Client{Transport: responsecheck.New(&http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true})}
	report := load.Run(ctx, &f.plan, &f.caller).Finish()
	f.caller.Client.CloseIdleConnections()
	f.print(env, report)
	answered := 0
	for _, results := range []*load.MixResults{report.Before, report.After} {
		if results.Outcomes[load.Aborted]+results.Outcomes[load.NoAnswer]+results.Outcomes[load.NotStarted] > 0 {
			return ExitFailed
		}
		answered += results.Outcomes[request.Answered]
	}
	if answered == 0 {
		return ExitFailed
	}
	return ExitOK
}

// check validates the flags and reads the key.
func (f *loadFlags) check() error {
	if err := f.plan.Check(); err != nil {
		return err
	}
	if !f.remote && !isLoopback(f.caller.URL) {
		return fault.New(fault.Invalid, "the daemon is not on this machine", "pass -remote to allow it")
	}
	f.caller.Key = os.Getenv(keyVariable)
	if f.keyFile != "" {
		text, err := os.ReadFile(f.keyFile)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "the key file can't be read", "pass a file with the workspace's key in -key-file")
		}
		f.caller.Key = strings.TrimSpace(string(text))
	}
	if f.caller.Key == "" {
		return fault.New(fault.Invalid, "no key was given", "pass -key-file or set "+keyVariable)
	}
	return nil
}

// isLoopback reports whether a URL's host is localhost or a loopback IP address.
func isLoopback(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil {
		return false
	}
	ip := net.ParseIP(parsed.Hostname())
	return parsed.Hostname() == "localhost" || (ip != nil && ip.IsLoopback())
}

// print prints the report as text or JSON.
func (f *loadFlags) print(env Env, report *load.Report) {
	if f.json {
		text, err := json.MarshalIndent(report, "", "  ")
		if err == nil {
			env.printf("%s", text)
		}
		return
	}
	f.printResults(env, "before the shift", report.Before)
	if f.plan.ShiftAt > 0 {
		f.printResults(env, "after the shift", report.After)
	}
}

// printResults prints the counts and percentiles of the calls of one mix.
func (f *loadFlags) printResults(env Env, title string, results *load.MixResults) {
	env.printf("%s: %d calls, %d tokens, outcomes %v", title, results.Calls, results.Tokens, results.Outcomes)
	for _, line := range []struct {
		name  string
		times load.Percentiles
	}{{"first token", results.FirstToken}, {"whole answer", results.Total}, {"token gap", results.TokenGap}} {
		env.printf("  %-12s ms  p50 %8.1f  p95 %8.1f  p99 %8.1f  max %8.1f",
			line.name, line.times.P50, line.times.P95, line.times.P99, line.times.Max)
	}
}
