package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/burn"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

// reportFlags are the flags of report.
type reportFlags struct {
	flags    *flag.FlagSet
	operator string
	json     bool
	plot     bool
	rows     int
}

// defaultReportRows is how many rows of the table are printed by default.
const defaultReportRows = 20

// reportCommand prints a report.
func reportCommand() Command {
	return Command{
		Name: "report", Args: "burn", Summary: "report how fast the error budgets burn",
		Setup: func(flags *flag.FlagSet) Action {
			f := &reportFlags{flags: flags}
			flags.StringVar(&f.operator, "operator", "http://127.0.0.1:9090", "base URL of a daemon's operator address")
			flags.BoolVar(&f.json, "json", false, "print the whole report as JSON")
			flags.BoolVar(&f.plot, "plot", false, "draw each row's burn rates as bars")
			flags.IntVar(&f.rows, "rows", defaultReportRows, "rows of the table; 0 prints all")
			return f.run
		},
	}
}

// run fetches the report and prints it. Flags may follow the report's name.
func (f *reportFlags) run(ctx context.Context, env Env, args []string) ExitCode {
	if args[0] != "burn" {
		env.errorf("there is no report %q; the reports are: burn", args[0])
		return ExitUsage
	}
	if err := f.flags.Parse(args[1:]); err != nil {
		return ExitUsage
	}
	report, err := f.fetch(ctx, env)
	if err != nil {
		env.errorf("the report can't be read: %v; check -operator and that the store can be reached", err)
		return ExitFailed
	}
	if f.json {
		text, err := json.Marshal(report)
		if err != nil {
			env.errorf("the report can't be encoded: %v", err)
			return ExitFailed
		}
		env.printf("%s", text)
		return ExitOK
	}
	printReport(env, report, f.rows, f.plot)
	return ExitOK
}

// fetch gets the report from a daemon.
func (f *reportFlags) fetch(ctx context.Context, env Env) (burn.Report, error) {
	var report burn.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.operator+"/v1/burn", http.NoBody)
	if err != nil {
		return report, err
	}
	response, err := env.Client.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("the daemon responded with %s", response.Status)
	}
	return report, responsecheck.DecodeJSON(response.Body, maxResponseBytes, &report)
}
