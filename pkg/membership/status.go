package membership

// Status tells whether a member takes part.
type Status string

// The statuses.
const (
	// Alive members have given a sign of life in time.
	Alive Status = "alive"
	// Suspect members have been silent, and others are asked about them.
	Suspect Status = "suspect"
	// Dead members have been silent for too long.
	Dead Status = "dead"
	// Left members have said that they stop.
	Left Status = "left"
)
