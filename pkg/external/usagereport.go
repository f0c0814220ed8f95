package external

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// UsageReport is the usage of one window as reported to the platform.
type UsageReport struct {
	// Window is the start of the reported window.
	Window time.Time `json:"window"`
	// Shard is the part of the workspaces that the report covers.
	Shard ident.Duty `json:"shard"`
	// Fencing is the fencing token of the reporting holder.
	Fencing ident.FencingToken `json:"fencing"`
	// Lines are ordered by workspace, model and service.
	Lines []UsageLine `json:"lines"`
}
