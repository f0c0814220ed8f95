package target

// Answer is the part of an engine's answer or stream event that the system
// reads.
type Answer struct {
	// Usage is nil in all events but the last before EndMarker.
	Usage *Usage `json:"usage"`
}
