package orders

// Observation is the state of one order and its target as its holder polled it.
type Observation struct {
	// Listed is set while the platform lists the target. Leaving is set once
	// the target is to be removed.
	Listed  bool
	Leaving bool
	// ChecksFencing is set for a target that refuses old fencing tokens.
	ChecksFencing bool
	// Superseded is set if the planner now requests another order.
	Superseded bool
	// AwaitsWeights is set until the weight store allows the load to begin.
	AwaitsWeights bool
	Hold          HoldState
	// Idle is set if the target's own report shows that nothing runs there and
	// was taken after the hold came into force.
	Idle bool
	Send SendState
	// Delivered is set if the target's own report shows the order.
	Delivered bool
	// DeliveryBoundPassed is set if the target has reported and the sender has
	// been known to send no more for at least Timing.DeliveryBound. If that
	// report does not show the order, the order can no longer arrive.
	DeliveryBoundPassed bool
	// Reported is set if the target answered this poll with its own report.
	Reported bool
}

// HoldState is the progress of the hold that keeps new work from the target.
type HoldState string

// The states of a hold.
const (
	// HoldNone means that the duty has no hold on the target.
	HoldNone HoldState = "none"
	// HoldEarlier is a hold that an earlier holder of the duty placed.
	HoldEarlier HoldState = "earlier"
	// HoldPlaced is a hold of this holder that not every daemon applies yet.
	HoldPlaced HoldState = "placed"
	// HoldInForce is a hold that every serving daemon applies.
	HoldInForce HoldState = "in force"
)

// SendState is the state of the journaled send as this process can determine it.
type SendState string

// The states of a send.
const (
	// SendForeign means that this process has no open send: another process
	// journaled the send, no send is journaled yet, or the order is closed.
	SendForeign SendState = "foreign"
	// SendDue is a send that this holder journaled and has not started.
	SendDue SendState = "due"
	// SendAccepted is a send that the target confirmed.
	SendAccepted SendState = "accepted"
	// SendRefused is a send that the target refused or that certainly never
	// left this process.
	SendRefused SendState = "refused"
	// SendUnknown is a send that was started and got no response.
	SendUnknown SendState = "unknown"
)
