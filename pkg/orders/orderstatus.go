package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// OrderStatus is the status of one order to an engine, for operators.
type OrderStatus struct {
	Target ident.Target `json:"target"`
	Duty   ident.Duty   `json:"duty"`
	// Holder and Fencing are those of the process that last wrote the order's
	// journal entry.
	Holder  ident.Host         `json:"holder"`
	Fencing ident.FencingToken `json:"fencing"`
	Order   target.Order       `json:"order"`
	Phase   Phase              `json:"phase"`
	Step    Step               `json:"step"`
	// Why is what the order waits for, or why it was abandoned.
	Why string `json:"why,omitempty"`
	// Since is when the journal was last written.
	Since time.Time `json:"since"`
}

// statusOf returns a record's status with the latest decision.
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
