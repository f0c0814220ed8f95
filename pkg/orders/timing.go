package orders

import "time"

// Timing are the intervals, timeouts and limits of order processing.
type Timing struct {
	// PlanInterval is the interval between calls of the engine planner.
	PlanInterval time.Duration
	// PollInterval is the interval between polls of an order that waits, and the
	// delay before a failed step or journal read is retried.
	PollInterval time.Duration
	// SendTimeout limits one send of an order.
	SendTimeout time.Duration
	// CallTimeout limits any other call.
	CallTimeout time.Duration
	// IdleMargin is the least time, by the target's own clock, from the first
	// report received while a hold is in force to one that can show that the
	// target is idle. It covers the lag of reports and requests in transit.
	IdleMargin time.Duration
	// DeliveryBound is the longest time that an order can be in transit after
	// its sender has stopped sending it or has ended.
	DeliveryBound time.Duration
	// OutcomeInterval is the interval between attempts to journal send outcomes.
	OutcomeInterval time.Duration
	// Concurrency limits the orders that one duty carries out at the same time.
	Concurrency int
	// SupplyInterval is the interval between calls of the supply planner.
	SupplyInterval time.Duration
	// ReconcileInterval is the interval between comparisons of the journal with the
	// platform's orders, and between checks for holds that were left behind.
	ReconcileInterval time.Duration
	// SupplyPerSecond limits the rate of orders to the platform.
	SupplyPerSecond float64
}

// DefaultTiming returns the values for production.
func DefaultTiming() Timing {
	return Timing{
		PlanInterval:      time.Second,
		PollInterval:      500 * time.Millisecond,
		SendTimeout:       5 * time.Second,
		CallTimeout:       2 * time.Second,
		IdleMargin:        2 * time.Second,
		DeliveryBound:     30 * time.Second,
		OutcomeInterval:   time.Second,
		Concurrency:       8,
		SupplyInterval:    2 * time.Second,
		ReconcileInterval: 30 * time.Second,
		SupplyPerSecond:   20,
	}
}
