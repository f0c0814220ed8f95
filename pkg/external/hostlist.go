package external

import "context"

// HostList gives the live and leaving hosts, with a lag.
type HostList interface {
	// Hosts returns what the platform knows at present.
	Hosts(ctx context.Context) ([]HostRecord, error)
}
