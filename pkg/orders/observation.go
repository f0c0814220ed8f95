package orders

// Observation is what a holder knows of one order at one moment.
type Observation struct {
	// Listed is set while the platform lists the target, Leaving once it is
	// to be taken away.
	Listed  bool
	Leaving bool
	// Checks is set for a target that refuses old numbers.
	Checks bool
	// Superseded is set where the planner now wants another order.
	Superseded bool
	// AwaitsWeights is set until the weight store lets the load begin.
	AwaitsWeights bool
	Hold          HoldState
	// Quiet is set once the target's own report, taken after the hold was in
	// force, showed that nothing runs there.
	Quiet bool
	Send  SendState
	// Delivered is set where the target's own report shows the order.
	Delivered bool
	// Settled is set where the sender is known to send no more, and a report
	// taken long enough after that does not show the order.
	Settled bool
	// Back is set once the target reported after the order's outcome.
	Back bool
}

// HoldState says whether new work is kept from the target.
type HoldState string

// The states of a hold.
const (
	// HoldNone means that the duty has no hold on the target.
	HoldNone HoldState = "none"
	// HoldEarlier is a hold that an earlier holder placed.
	HoldEarlier HoldState = "earlier"
	// HoldPlaced is a hold of this holder that is not yet known everywhere.
	HoldPlaced HoldState = "placed"
	// HoldInForce is a hold that every daemon that serves keeps to.
	HoldInForce HoldState = "in force"
)

// SendState says what this process knows of the journalled sending.
type SendState string

// The states of a sending.
const (
	// SendForeign was journalled by another process.
	SendForeign SendState = "foreign"
	// SendDue was journalled by this holder and not begun.
	SendDue SendState = "due"
	// SendAccepted was answered by the target.
	SendAccepted SendState = "accepted"
	// SendRefused was refused by the target, or surely never left.
	SendRefused SendState = "refused"
	// SendUnknown was begun, and no answer came.
	SendUnknown SendState = "unknown"
)
