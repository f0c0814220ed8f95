package ctl

import (
	"context"
	"flag"
	"net/http"

	"amaranthplank.example/amaranthplank/pkg/operator"
)

// showFlags are the flags of show.
type showFlags struct {
	client
	json bool
}

// showCommand prints the current configuration.
func showCommand() Command {
	return Command{
		Name: "show", Summary: "print the current configuration as it was written",
		Setup: func(flags *flag.FlagSet) Action {
			f := &showFlags{}
			f.declare(flags)
			flags.BoolVar(&f.json, "json", false, "print the revision and the text as JSON")
			return f.run
		},
	}
}

// run prints the text to the output and its revision to the diagnostics, so that
// the output can be redirected to a file.
func (f *showFlags) run(ctx context.Context, env Env, _ []string) ExitCode {
	var text operator.ConfigText
	if err := f.call(ctx, env, http.MethodGet, operator.ConfigPath, nil, &text); err != nil {
		env.errorf("%v", err)
		return exitCodeOf(err)
	}
	if f.json {
		printJSON(env, text)
		return ExitOK
	}
	env.printf("%s", text.Text)
	env.errorf("revision %d", text.Revision)
	return ExitOK
}
