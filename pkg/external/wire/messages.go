package wire

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Empty is a message that bears nothing.
type Empty struct{}

// KeyRequest asks for one key, or for the keys that start with it.
type KeyRequest struct {
	Key external.Key `json:"key"`
}

// EntryList answers with entries.
type EntryList struct {
	Entries []external.Entry `json:"entries"`
}

// VersionAnswer answers a write with the new version.
type VersionAnswer struct {
	Version external.Version `json:"version"`
}

// DeleteRequest asks to delete a key at a version.
type DeleteRequest struct {
	Key     external.Key     `json:"key"`
	Version external.Version `json:"version"`
}

// GrantRequest asks for a lease.
type GrantRequest struct {
	TTL time.Duration `json:"ttl"`
}

// LeaseMessage names a lease.
type LeaseMessage struct {
	Lease external.LeaseID `json:"lease"`
}

// WatchRequest asks for the changes under a prefix after a cursor. The answer
// is empty when Wait is over.
type WatchRequest struct {
	Prefix external.Key    `json:"prefix"`
	After  external.Cursor `json:"after"`
	Wait   time.Duration   `json:"wait"`
}

// ReportList answers with usage reports.
type ReportList struct {
	Reports []external.UsageReport `json:"reports"`
}

// OrderList answers with target orders.
type OrderList struct {
	Orders []external.TargetOrder `json:"orders"`
}

// TargetList answers with targets.
type TargetList struct {
	Targets []external.TargetRecord `json:"targets"`
}

// HostList answers with hosts.
type HostList struct {
	Hosts []external.HostRecord `json:"hosts"`
}

// ReserveRequest asks to load a model's weights.
type ReserveRequest struct {
	Model ident.Model `json:"model"`
}

// ReserveAnswer says how long to wait before loading.
type ReserveAnswer struct {
	Wait time.Duration `json:"wait"`
}

// FaultsRequest sets the failures of the store's stand-in. Empty, it ends them.
type FaultsRequest struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// SilentWatches makes watches wait without an end.
	SilentWatches bool `json:"silentWatches"`
}

// ReclaimRequest has the stand-in take a failure domain's reclaimable targets
// away.
type ReclaimRequest struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// Notice is the time until they are gone.
	Notice time.Duration `json:"notice"`
}
