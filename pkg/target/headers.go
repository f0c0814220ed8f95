package target

// Headers between daemons and targets.
const (
	// HeaderAttempt bears the attempt's id in the request and the answer.
	HeaderAttempt = "Amaranth-Attempt"
	// HeaderPriority bears the request's class.
	HeaderPriority = "Amaranth-Priority"
	// HeaderDeadline bears the milliseconds that are left for the answer.
	HeaderDeadline = "Amaranth-Deadline-Ms"
	// HeaderAfter bears the last event's id that a resumed stream has had.
	HeaderAfter = "Last-Event-ID"
	// HeaderCredential bears the system's own credential towards targets.
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

// EndMarker is the data of a stream's last event.
const EndMarker = "[DONE]"
