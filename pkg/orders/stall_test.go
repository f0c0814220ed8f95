package orders_test

import (
	"bytes"
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/orders"
)

// stallPoint is a point in the code at which a process stalls once, for
// stallLength.
type stallPoint int

// The stall points.
const (
	stallNone stallPoint = iota
	// stallSend is between the last authority check and the send.
	stallSend
	// stallJournal is between the journal write of a send and the last
	// authority check.
	stallJournal
)

// stallLength is longer than a lease together with the time that a successor
// needs for its orders.
const stallLength = 90 * time.Second

// setStall sets the point at which the node stalls next.
func (n *node) setStall(at stallPoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stall = at
}

// stallAt stalls the node if the point is the one that setStall set.
func (n *node) stallAt(at stallPoint) {
	n.mu.Lock()
	due := n.stall == at
	if due {
		n.stall = stallNone
	}
	n.mu.Unlock()
	if due {
		n.process.Pause(stallLength)
		time.Sleep(stallLength)
	}
}

// stallStore is a node's store that may stall after it has journaled a send.
type stallStore struct {
	external.Store
	node *node
}

// CompareAndSwap forwards a write, then stalls at stallJournal if it journaled a
// send.
func (s stallStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if err == nil && bytes.Contains(swap.Value, []byte(`"phase":"`+string(orders.PhaseSent)+`"`)) {
		s.node.stallAt(stallJournal)
	}
	return version, err
}
