package lease

import "amaranthplank.example/amaranthplank/pkg/fault"

// ErrLost is returned when the duty is not certain to be held any more.
var ErrLost = fault.New(fault.Fenced, "the duty is no longer held", "leave the work to the duty's next holder")
