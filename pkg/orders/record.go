package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// Record is the journal's entry for one target: its newest order. The version
// of the entry that journals a send is the fencing token that the order is sent
// with. The version rises with every write of any process, so a target that
// checks fencing tokens refuses orders that were journaled earlier.
type Record struct {
	Target ident.Target `json:"target"`
	// Number counts the orders of the target.
	Number uint64 `json:"number"`
	// Order is the planned order. Its Fencing is zero in the journal.
	Order target.Order `json:"order"`
	Phase Phase        `json:"phase"`
	// Reason is why an order was abandoned.
	Reason string `json:"reason,omitempty"`
	// Duty and Fencing are those of the holder that wrote last.
	Duty    ident.Duty         `json:"duty"`
	Fencing ident.FencingToken `json:"fencing"`
	// Writer identifies the last write.
	Writer lease.Writer `json:"writer"`
	// Sender identifies the write that journaled the send.
	Sender lease.Writer `json:"sender"`
	// SendEnded is set by the sender itself and means that it will not send
	// again, although the order may still be in transit.
	SendEnded bool `json:"sendEnded,omitempty"`
	// FailureDomain and Model are those of the target.
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Model         ident.Model         `json:"model"`
	// WrittenAt is shown to operators. It also limits how long a repeated
	// order is suppressed after this one is done.
	WrittenAt time.Time `json:"writtenAt"`
	// version is the entry's version in the store.
	version external.Version
}

// RequiresIdle reports whether an order of this kind takes the engine out of
// service, so that no request may run there.
func RequiresIdle(kind target.OrderKind) bool {
	return kind == target.OrderRole || kind == target.OrderLoad
}

// sameContent reports whether two orders are equal apart from their IDs and
// fencing tokens.
func sameContent(a, b target.Order) bool {
	a.OrderID, a.Fencing = "", 0
	b.OrderID, b.Fencing = "", 0
	return a == b
}
