package membership

import "time"

// Timing holds the periods of the membership.
type Timing struct {
	// HeartbeatEvery is the time between heartbeats.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which others are asked.
	SuspectAfter time.Duration
	// DeadAfter is the silence, confirmed by others, that ends an incarnation.
	DeadAfter time.Duration
	// ForgetAfter is how long an ended member stays in the view.
	ForgetAfter time.Duration
}

// DefaultTiming returns the periods that a daemon starts with.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatEvery: time.Second,
		SuspectAfter:   5 * time.Second,
		DeadAfter:      15 * time.Second,
		ForgetAfter:    10 * time.Minute,
	}
}

const (
	// askCount is how many members are asked about a suspect in each period.
	askCount = 3
	// tellCount is how often a change is told to each neighbour.
	tellCount = 4
	// maxRecords bounds the records of one gossip.
	maxRecords = 1024
)
