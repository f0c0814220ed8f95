package lease

import "amaranthplank.example/amaranthplank/pkg/fault"

// ErrLost says that the duty is no longer surely held.
var ErrLost = fault.New(fault.Fenced, "the duty is no longer held", "leave the work to the duty's next holder")
