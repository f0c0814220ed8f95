package ctl

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// checkFlags are the flags of check.
type checkFlags struct {
	json   bool
	policy bool
}

// checkCommand checks a configuration file without a daemon.
func checkCommand() Command {
	return Command{
		Name: "check", Args: "FILE", Summary: "check a configuration file",
		Setup: func(flags *flag.FlagSet) Action {
			f := &checkFlags{}
			flags.BoolVar(&f.json, "json", false, "print the problems as JSON")
			flags.BoolVar(&f.policy, "policy", false, "the file holds only defaults and exceptions")
			return f.run
		},
	}
}

// run checks the file and prints all problems.
func (f *checkFlags) run(_ context.Context, env Env, args []string) ExitCode {
	problems, err := checkFile(args[0], f.policy)
	if f.json {
		printJSON(env, problems)
	}
	switch {
	case err == nil:
		if !f.json {
			env.printf("%s is a valid configuration", args[0])
		}
		return ExitOK
	case len(problems) == 0:
		env.errorf("%s: %v", args[0], err)
	case !f.json:
		for _, problem := range problems {
			env.errorf("%s: %s", args[0], problem)
		}
	}
	return ExitFailed
}

// checkFile returns the problems in a file, and the error that reading or
// checking it gave.
func checkFile(name string, policy bool) ([]jsonc.Problem, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return []jsonc.Problem{}, err
	}
	if policy {
		_, err = config.ParsePolicy(text)
	} else {
		_, err = config.Check(text, time.Now())
	}
	var problems *jsonc.ProblemsError
	if errors.As(err, &problems) {
		return problems.Problems, err
	}
	return []jsonc.Problem{}, err
}
