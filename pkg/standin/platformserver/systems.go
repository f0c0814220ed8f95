package platformserver

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// Systems are what the server serves.
type Systems struct {
	Store   platform.Store
	Usage   platform.UsageSink
	Targets platform.TargetOrderer
	Hosts   platform.HostList
	Weights platform.WeightStore
	// SetHosts replaces the host list.
	SetHosts func(records []platform.HostRecord)
	// Reclaim takes a failure domain's reclaimable targets away.
	Reclaim func(domain ident.FailureDomain, notice time.Duration)
	// SetFaults sets the store's failures.
	SetFaults func(faults faultstore.Faults)
	// Reports returns the usage reports taken so far, for those who look at
	// the stand-in.
	Reports func() []platform.UsageReport
}
