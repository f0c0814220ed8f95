package ctl

// ExitCode is the exit code of amaranthctl.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK ExitCode = 0
	// ExitFailed means that the command could not do what was asked.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line is malformed.
	ExitUsage ExitCode = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict ExitCode = 3
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown ExitCode = 4
	// ExitDiffers means that a file differs from the configuration in force.
	ExitDiffers ExitCode = 5
)
