package target

// Answer is the part of an engine's response body or stream event that the daemons
// read.
type Answer struct {
	// Usage is nil in all events except the last before EndMarker.
	Usage *Usage `json:"usage"`
}
