package ctl

// Commands returns all commands in the order in which the usage lists them.
func Commands() []Command {
	return []Command{
		checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(), drainCommand(), loadCommand(), reportCommand(),
	}
}
