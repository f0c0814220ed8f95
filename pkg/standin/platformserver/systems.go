package platformserver

import (
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// Systems are what the server serves.
type Systems struct {
	Store   platform.Store
	Usage   platform.UsageSink
	Targets platform.TargetOrderer
	Hosts   platform.HostList
	Weights platform.WeightStore
	// Reports returns the usage reports taken so far, for those who look at
	// the stand-in.
	Reports func() []platform.UsageReport
}
