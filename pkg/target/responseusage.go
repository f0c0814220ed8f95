package target

// ResponseUsage is the part of an engine's response body or stream event that the daemons
// read.
type ResponseUsage struct {
	// Usage is nil in all events except the last before EndMarker.
	Usage *Usage `json:"usage"`
}
