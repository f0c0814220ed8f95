package membership

// Status is the state of a member.
type Status string

// Member statuses.
const (
	// Alive members were heard in time.
	Alive Status = "alive"
	// Suspect members have been silent, or their link has ended; others are
	// asked about them.
	Suspect Status = "suspect"
	// Dead members have been silent for too long.
	Dead Status = "dead"
	// Left members have said that they stop.
	Left Status = "left"
)
