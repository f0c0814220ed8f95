package orders

import "time"

// Terms are the times and bounds that orders run by.
type Terms struct {
	// PlanEvery is the time between asking the planner.
	PlanEvery time.Duration
	// LookEvery is the time between looks at an order that waits.
	LookEvery time.Duration
	// SendTimeout bounds one sending of an order.
	SendTimeout time.Duration
	// CallTimeout bounds other calls.
	CallTimeout time.Duration
	// QuietAfter is how much later than the first report after the hold was
	// in force a report must be taken, by the target's own clock. It covers
	// the lag of reports and requests that are on their way.
	QuietAfter time.Duration
	// DeliveryBound is the longest time that an order can be on its way after
	// its sender has given up or is gone.
	DeliveryBound time.Duration
	// StateEvery is the time between attempts to write statements.
	StateEvery time.Duration
	// Concurrency is how many orders one duty carries out at once.
	Concurrency int
	// SupplyEvery is the time between asking the supply planner, ReconcileEvery
	// between comparing the platform's orders with the journal.
	SupplyEvery    time.Duration
	ReconcileEvery time.Duration
	// SupplyPerSecond bounds the orders to the platform.
	SupplyPerSecond float64
}

// DefaultTerms returns the terms of a production run.
func DefaultTerms() Terms {
	return Terms{
		PlanEvery:       time.Second,
		LookEvery:       500 * time.Millisecond,
		SendTimeout:     5 * time.Second,
		CallTimeout:     2 * time.Second,
		QuietAfter:      2 * time.Second,
		DeliveryBound:   30 * time.Second,
		StateEvery:      time.Second,
		Concurrency:     8,
		SupplyEvery:     2 * time.Second,
		ReconcileEvery:  30 * time.Second,
		SupplyPerSecond: 20,
	}
}
