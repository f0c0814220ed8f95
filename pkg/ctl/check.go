package ctl

import (
	"context"
	"flag"
	"os"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// checkCommand checks a configuration file without a daemon.
func checkCommand() Command {
	return Command{
		Name: "check", Args: "FILE", Summary: "check a configuration file",
		Setup: func(*flag.FlagSet) Action { return check },
	}
}

// check reads the file and prints what is wrong with it.
func check(_ context.Context, env Env, args []string) ExitCode {
	text, err := os.ReadFile(args[0])
	if err == nil {
		_, err = config.Parse(text)
	}
	if err != nil {
		env.errorf("%s: %v", args[0], err)
		return ExitFailed
	}
	env.printf("%s is a valid configuration", args[0])
	return ExitOK
}
