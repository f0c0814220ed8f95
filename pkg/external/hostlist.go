package external

import "context"

// HostList lists the live and leaving hosts. The list may lag behind.
type HostList interface {
	// Hosts returns the hosts that the platform currently lists.
	Hosts(ctx context.Context) ([]HostRecord, error)
}
