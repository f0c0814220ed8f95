package admission

// RunCounter is a Ticket whose controller counts how often targets run requests.
type RunCounter interface {
	Ticket
	// CountRuns records how many targets may have run the request. Zero means that it has
	// not run. It is called once, before Release.
	CountRuns(runs int)
}
