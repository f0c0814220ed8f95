package drain

// Phase is the progress of a graceful shutdown.
type Phase string

// The phases.
const (
	// Serving means that no stop was requested.
	Serving Phase = "serving"
	// AwaitingBalancer means that the server still accepts requests until the
	// load balancer has had time to stop sending them. Its printed value means
	// that the balancer turns to other processes.
	AwaitingBalancer Phase = "looking away"
	// Finishing means that the listener is closed and requests may still run.
	Finishing Phase = "finishing"
	// Drained means that no request is left.
	Drained Phase = "drained"
)

// Status is the progress of a graceful shutdown and what remains to be finished.
type Status struct {
	Phase Phase `json:"phase"`
	// Running is how many requests are being served.
	Running int64 `json:"running"`
}
