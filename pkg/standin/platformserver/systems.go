package platformserver

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// Systems holds the implementations that the server exposes, and the functions
// that control and inspect them.
type Systems struct {
	Store   external.Store
	Usage   external.UsageSink
	Targets external.TargetOrderer
	Hosts   external.HostList
	Weights external.WeightStore
	// SetHosts replaces the host list.
	SetHosts func(records []external.HostRecord)
	// Reclaim marks a failure domain's reclaimable targets as leaving. They are
	// removed once the notice has elapsed.
	Reclaim func(domain ident.FailureDomain, notice time.Duration)
	// SetFaults sets the store's injected failures.
	SetFaults func(faults faultstore.Faults)
	// Reports returns the usage reports accepted so far, for inspection.
	Reports func() []external.UsageReport
}
