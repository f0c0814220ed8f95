package membership

import "time"

// Timing holds the intervals and timeouts of the membership.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is
	// suspect and other members are queried about it.
	SuspectAfter time.Duration
	// DeadAfter is the time without a heartbeat, received directly or through
	// others, after which an incarnation is ended.
	DeadAfter time.Duration
	// ForgetAfter is how long an ended member is remembered.
	ForgetAfter time.Duration
}

// DefaultTiming returns the default intervals and timeouts.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: time.Second,
		SuspectAfter:      5 * time.Second,
		DeadAfter:         15 * time.Second,
		ForgetAfter:       10 * time.Minute,
	}
}

const (
	// queriesPerSuspect is how many members are queried about a suspect on each
	// tick.
	queriesPerSuspect = 3
	// announcementsPerChange is on how many ticks a change is sent to the
	// neighbors.
	announcementsPerChange = 4
	// maxRecords bounds the records of one gossip.
	maxRecords = 1024
)
