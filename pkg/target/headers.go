package target

// Headers between daemons and targets.
const (
	// HeaderAttempt is the attempt's ID, in the request and in the response.
	HeaderAttempt = "Amaranth-Attempt"
	// HeaderPriority is the request's class.
	HeaderPriority = "Amaranth-Priority"
	// HeaderDeadline is the time left for the response, in milliseconds.
	HeaderDeadline = "Amaranth-Deadline-Ms"
	// HeaderLastEventID is the ID of the last event received of a stream to resume.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderCredential is the credential that authenticates the daemons to targets.
	HeaderCredential = "Amaranth-Credential"
)

// Paths of an engine.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/load"
	PathEvents      = "/events"
	PathOrders      = "/orders"
)

// EndMarker is the data of the last event of a stream.
const EndMarker = "[DONE]"
