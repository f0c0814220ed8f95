package external

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TargetRecord is one target that the platform has placed.
type TargetRecord struct {
	Target        ident.Target        `json:"target"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	Kind          TargetKind          `json:"kind"`
	// Model is set for engines, Service for plain services.
	Model   ident.Model   `json:"model,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	// ChecksFencing says that the target refuses an order with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// Leaving is set once the target is to be taken away.
	Leaving bool `json:"leaving"`
	// LeaveBy is when a leaving target is gone. It is zero for others.
	LeaveBy time.Time `json:"leaveBy,omitzero"`
}
