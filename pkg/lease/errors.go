package lease

import "amaranthplank.example/amaranthplank/pkg/fault"

// ErrLost is returned when the duty is no longer certain to be held.
var ErrLost = fault.New(fault.Fenced, "the duty is no longer held", "no action is needed: the duty's next holder continues the work")
