package membership

// Status is the state of a member.
type Status string

// Member statuses.
const (
	// Alive members had a heartbeat within SuspectAfter, and their link has not
	// ended since.
	Alive Status = "alive"
	// Suspect members had no heartbeat within SuspectAfter, or their link
	// has ended; other members are queried about them.
	Suspect Status = "suspect"
	// Dead members had no heartbeat within DeadAfter, on this daemon or on
	// another one that ended their incarnation.
	Dead Status = "dead"
	// Left members have announced their stop.
	Left Status = "left"
)
