package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Record is the journal's entry for one target: its newest order. The version
// of the entry that the sending was journalled by is the number that the order
// bears to the target. It rises with every write, whoever makes it, so a target
// that checks refuses whatever was journalled earlier.
type Record struct {
	Target ident.Target `json:"target"`
	// Number counts the orders of the target.
	Number uint64 `json:"number"`
	// Order is the content; its Fencing is zero here.
	Order target.Order `json:"order"`
	Phase Phase        `json:"phase"`
	// Reason says why an order was abandoned.
	Reason string `json:"reason,omitempty"`
	// Duty and Fencing are those of the holder that wrote last.
	Duty    ident.Duty    `json:"duty"`
	Fencing ident.Fencing `json:"fencing"`
	// Writer identifies the last write.
	Writer lease.Writer `json:"writer"`
	// Sender is the write that the sending was journalled by.
	Sender lease.Writer `json:"sender"`
	// SendEnded is set by the sender itself, and says that it will not send
	// again, though the order may still be on its way.
	SendEnded bool `json:"sendEnded,omitempty"`
	// FailureDomain and Model are the target's.
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Model         ident.Model         `json:"model"`
	// WrittenAt is for operators to read.
	WrittenAt time.Time `json:"writtenAt"`
	// version is the entry's version in the store.
	version external.Version
}

// NeedsQuiet reports whether an order of this kind takes the engine away, so
// that nothing may run there.
func NeedsQuiet(kind target.OrderKind) bool {
	return kind == target.OrderRole || kind == target.OrderLoad
}

// sameContent reports whether two orders ask for the same, whatever their ids.
func sameContent(a, b target.Order) bool {
	a.OrderID, a.Fencing = "", 0
	b.OrderID, b.Fencing = "", 0
	return a == b
}
