package external

import "amaranthplank.example/amaranthplank/pkg/ident"

// TargetOrder requests a number of targets in one failure domain from the
// platform. It states the total count, so that repeating it is idempotent.
type TargetOrder struct {
	// OrderID is the same on every repeat of one order.
	OrderID       string              `json:"orderId"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Model         ident.Model         `json:"model"`
	Kind          TargetKind          `json:"kind"`
	// DesiredCount is the total number of targets to have.
	DesiredCount int                `json:"wanted"`
	Fencing      ident.FencingToken `json:"fencing"`
}
