package drain

// Phase tells how far a planned stop has come.
type Phase string

// The phases.
const (
	// Serving means that no stop was asked for.
	Serving Phase = "serving"
	// LookingAway means that the balancer is given time to send elsewhere.
	LookingAway Phase = "looking away"
	// Finishing means that the listener is closed and requests still run.
	Finishing Phase = "finishing"
	// Drained means that no request is left.
	Drained Phase = "drained"
)

// Status is how a planned stop stands.
type Status struct {
	Phase Phase `json:"phase"`
	// Running counts the requests that are being served.
	Running int64 `json:"running"`
}
