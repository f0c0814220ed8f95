package wire

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Empty is a message without content.
type Empty struct{}

// KeyRequest requests the entry of a key, or the entries whose keys start with it.
type KeyRequest struct {
	Key external.Key `json:"key"`
}

// EntryList is a list of store entries.
type EntryList struct {
	Entries []external.Entry `json:"entries"`
}

// VersionResponse is the response to a write, with the new version.
type VersionResponse struct {
	Version external.Version `json:"version"`
}

// DeleteRequest requests the deletion of a key at a version.
type DeleteRequest struct {
	Key     external.Key     `json:"key"`
	Version external.Version `json:"version"`
}

// GrantRequest requests a lease.
type GrantRequest struct {
	TTL time.Duration `json:"ttl"`
}

// LeaseMessage identifies a lease, in requests and responses.
type LeaseMessage struct {
	Lease external.LeaseID `json:"lease"`
}

// WatchRequest requests the changes under a prefix after a cursor. The
// response is empty if there are none before Wait has passed.
type WatchRequest struct {
	Prefix external.Key    `json:"prefix"`
	After  external.Cursor `json:"after"`
	Wait   time.Duration   `json:"wait"`
}

// ReportList is a list of usage reports.
type ReportList struct {
	Reports []external.UsageReport `json:"reports"`
}

// OrderList is a list of target orders.
type OrderList struct {
	Orders []external.TargetOrder `json:"orders"`
}

// TargetList is a list of targets.
type TargetList struct {
	Targets []external.TargetRecord `json:"targets"`
}

// HostList is a list of hosts.
type HostList struct {
	Hosts []external.HostRecord `json:"hosts"`
}

// ReserveRequest reserves a load of a model's weights.
type ReserveRequest struct {
	Model ident.Model `json:"model"`
}

// ReserveResponse holds the time to wait before loading.
type ReserveResponse struct {
	Wait time.Duration `json:"wait"`
}

// FaultsRequest sets the injected faults of the store's stand-in. The zero value
// ends them.
type FaultsRequest struct {
	// Down rejects every call.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// SilentWatches makes watches wait forever.
	SilentWatches bool `json:"silentWatches"`
}

// ReclaimRequest makes the stand-in reclaim the reclaimable targets of a failure
// domain.
type ReclaimRequest struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// Notice is the time until they are removed.
	Notice time.Duration `json:"notice"`
}
