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

// diffCommand compares a file with the current configuration.
func diffCommand() Command {
	return Command{
		Name: "diff", Args: "FILE", Summary: "show what a file would change in the current configuration",
		Setup: func(flags *flag.FlagSet) Action {
			f := &diffFlags{}
			f.declare(flags)
			return f.run
		},
	}
}

// run prints the lines that differ and the current revision, which is the -base to
// apply the file with.
func (f *diffFlags) run(ctx context.Context, env Env, args []string) ExitCode {
	text, err := os.ReadFile(args[0])
	if err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	var current operator.ConfigText
	if err := f.call(ctx, env, http.MethodGet, operator.ConfigPath, nil, &current); err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	changes := diffLines(splitLines(current.Text), splitLines(string(text)))
	if len(changes) == 0 {
		env.printf("%s is identical to the current revision %d", args[0], current.Revision)
		return ExitOK
	}
	env.printf("--- revision %d\n+++ %s", current.Revision, args[0])
	for _, change := range changes {
		env.printf("%s", change)
	}
	return ExitDiffers
}

// splitLines splits a text into lines.
func splitLines(text string) []string {
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
