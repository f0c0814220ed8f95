package ctl

import (
	"context"
	"flag"
	"net/http"
	"os"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/operator"
)

// applyFlags are the flags of apply.
type applyFlags struct {
	client
	base int64
	json bool
}

// noBase marks that no base revision was given.
const noBase = -1

// applyCommand applies a configuration file.
func applyCommand() Command {
	return Command{
		Name: "apply", Args: "FILE", Summary: "apply a configuration file",
		Setup: func(flags *flag.FlagSet) Action {
			f := &applyFlags{}
			f.declare(flags)
			flags.Int64Var(&f.base, "base", noBase, "revision that the file was edited from; 0 writes the first")
			flags.BoolVar(&f.json, "json", false, "print the outcome as JSON")
			return f.run
		},
	}
}

// run checks the file locally, then applies it.
func (f *applyFlags) run(ctx context.Context, env Env, args []string) ExitCode {
	if f.base < 0 {
		env.errorf("apply needs -base, the revision that the file was edited from; amaranthctl diff %s prints the current revision", args[0])
		return ExitUsage
	}
	if code := (&checkFlags{}).run(ctx, Env{Out: env.Err, Err: env.Err}, args); code != ExitOK {
		return code
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	var applied config.ApplyResult
	request := operator.ApplyRequest{Base: ident.Revision(f.base), Text: string(text)}
	if err := f.call(ctx, env, http.MethodPost, operator.ConfigPath, request, &applied); err != nil {
		env.errorf("%v", err)
		return exitCodeOf(err)
	}
	if f.json {
		printJSON(env, applied)
		return ExitOK
	}
	env.printf("revision %d is accepted, %v after it was written", applied.Revision, applied.Waited.D())
	return ExitOK
}
