package platformserver

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// Systems are what the server serves.
type Systems struct {
	Store   external.Store
	Usage   external.UsageSink
	Targets external.TargetOrderer
	Hosts   external.HostList
	Weights external.WeightStore
	// SetHosts replaces the host list.
	SetHosts func(records []external.HostRecord)
	// Reclaim takes a failure domain's reclaimable targets away.
	Reclaim func(domain ident.FailureDomain, notice time.Duration)
	// SetFaults sets the store's failures.
	SetFaults func(faults faultstore.Faults)
	// Reports returns the usage reports taken so far, for those who look at
	// the stand-in.
	Reports func() []external.UsageReport
}
