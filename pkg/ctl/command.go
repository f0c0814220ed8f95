package ctl

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Command is one subcommand of amaranthctl.
type Command struct {
	// Name is the word that selects the command, such as "check".
	Name string
	// Args names the required arguments after the flags, such as "FILE".
	Args string
	// Summary describes the command in one line.
	Summary string
	// Setup declares the flags and returns the action to run once they are parsed.
	Setup func(flags *flag.FlagSet) Action
}

// Action runs a command with the arguments after its flags.
type Action func(ctx context.Context, env Env, args []string) ExitCode

// Run runs the command that the first argument names.
func Run(ctx context.Context, env Env, commands []Command, args []string) ExitCode {
	if len(args) == 0 {
		printUsage(env, commands)
		return ExitUsage
	}
	if slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]) {
		printUsage(env, commands)
		return ExitOK
	}
	for i := range commands {
		if commands[i].Name == args[0] {
			return commands[i].run(ctx, env, args[1:])
		}
	}
	env.errorf("amaranthctl: there is no command %q; see amaranthctl -h", args[0])
	return ExitUsage
}

// run parses the command's flags and runs its action.
func (c *Command) run(ctx context.Context, env Env, args []string) ExitCode {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(env.Err)
	flags.Usage = func() {
		env.errorf("usage: amaranthctl %s [flags] %s\n%s", c.Name, c.Args, c.Summary)
		flags.PrintDefaults()
	}
	action := c.Setup(flags)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	if flags.NArg() < len(strings.Fields(c.Args)) {
		flags.Usage()
		return ExitUsage
	}
	return action(ctx, env, flags.Args())
}

// printUsage lists the commands.
func printUsage(env Env, commands []Command) {
	env.errorf("usage: amaranthctl COMMAND [flags] [arguments]")
	for i := range commands {
		env.errorf("  %-8s %s", commands[i].Name, commands[i].Summary)
	}
}

// printf prints a line to the output.
func (e Env) printf(format string, args ...any) {
	// If the output is closed, the error can't be reported.
	_, _ = fmt.Fprintf(e.Out, format+"\n", args...)
}

// errorf prints a line to the diagnostics.
func (e Env) errorf(format string, args ...any) {
	// If the output is closed, the error can't be reported.
	_, _ = fmt.Fprintf(e.Err, format+"\n", args...)
}
