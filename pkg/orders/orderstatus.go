package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// OrderStatus is one order as operators see it.
type OrderStatus struct {
	Target ident.Target `json:"target"`
	Duty   ident.Duty   `json:"duty"`
	// Holder and Fencing are of the process that carries the order out.
	Holder  ident.Host    `json:"holder"`
	Fencing ident.Fencing `json:"fencing"`
	Order   target.Order  `json:"order"`
	Phase   Phase         `json:"phase"`
	Step    Step          `json:"step"`
	// Why says what holds the order back, or why it was abandoned.
	Why string `json:"why,omitempty"`
	// Since is when the journal was last written.
	Since time.Time `json:"since"`
}

// statusOf returns a record's status with the decision that was taken last.
func statusOf(record Record, decision Decision) OrderStatus {
	why := decision.Why
	if why == "" {
		why = record.Reason
	}
	return OrderStatus{
		Target: record.Target, Duty: record.Duty, Holder: record.Writer.Host, Fencing: record.Fencing,
		Order: record.Order, Phase: record.Phase, Step: decision.Step, Why: why, Since: record.WrittenAt,
	}
}
