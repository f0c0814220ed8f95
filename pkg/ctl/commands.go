package ctl

// Commands returns the tool's commands in the order that help lists them.
func Commands() []Command {
	return []Command{
		checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(), drainCommand(), loadCommand(), reportCommand(),
	}
}
