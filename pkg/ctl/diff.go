package ctl

import (
	"context"
	"flag"
	"net/http"
	"os"
	"strings"

	"amaranthplank.example/amaranthplank/pkg/operator"
)

// diffFlags are the flags of diff.
type diffFlags struct {
	client
}

// diffCommand compares a file with the configuration in force.
func diffCommand() Command {
	return Command{
		Name: "diff", Args: "FILE", Summary: "show what a file would change in the configuration in force",
		Setup: func(flags *flag.FlagSet) Action {
			f := &diffFlags{}
			f.declare(flags)
			return f.run
		},
	}
}

// run prints the lines that differ and the revision in force, which is the -base
// to apply the file with.
func (f *diffFlags) run(ctx context.Context, env Env, args []string) ExitCode {
	text, err := os.ReadFile(args[0])
	if err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	var inForce operator.ConfigText
	if err := f.call(ctx, env, http.MethodGet, operator.ConfigPath, nil, &inForce); err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	changes := diffLines(splitLines(inForce.Text), splitLines(string(text)))
	if len(changes) == 0 {
		env.printf("%s is revision %d, which is in force", args[0], inForce.Revision)
		return ExitOK
	}
	env.printf("--- revision %d\n+++ %s", inForce.Revision, args[0])
	for _, change := range changes {
		env.printf("%s", change)
	}
	return ExitDiffers
}

// splitLines splits a text into lines.
func splitLines(text string) []string {
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
