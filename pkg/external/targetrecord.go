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
	// SoftwareVersion is the version of the target's software, not of its model. It is
	// empty if the target states none.
	SoftwareVersion ident.SoftwareVersion `json:"softwareVersion,omitempty"`
	// ChecksFencing is set if the target rejects orders with an old fencing
	// token.
	ChecksFencing bool `json:"checksFencing"`
	// Leaving is set once the target is going to be removed.
	Leaving bool `json:"leaving"`
	// LeaveBy is when a leaving target will be removed. It is zero for others.
	LeaveBy time.Time `json:"leaveBy,omitzero"`
}
