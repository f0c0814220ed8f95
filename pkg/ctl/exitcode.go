package ctl

// ExitCode is the exit code of amaranthctl.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the command failed for a reason without a code of its
	// own.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line is malformed.
	ExitUsage ExitCode = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict ExitCode = 3
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown ExitCode = 4
	// ExitDiffers means that a file differs from the current configuration.
	ExitDiffers ExitCode = 5
)
