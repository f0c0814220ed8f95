package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyStep is the next action for a group.
type SupplyStep string

// The steps.
const (
	// SupplyNothing leaves the group as it is.
	SupplyNothing SupplyStep = "nothing"
	// SupplyClaim rewrites the journaled order with this holder's fencing
	// token and reopens it. Once it is sent, the platform refuses orders of
	// earlier holders.
	SupplyClaim SupplyStep = "claim"
	// SupplyRepeat sends the journaled order.
	SupplyRepeat SupplyStep = "repeat"
	// SupplyOrder journals a new order.
	SupplyOrder SupplyStep = "order"
)

// SupplyNext returns the next step for a group. The journaled order is finished
// under this holder's fencing token before a new one starts. wanted is nil if
// the planner returned no order for the group.
func SupplyNext(record SupplyRecord, wanted *external.TargetOrder, fencing ident.FencingToken) SupplyStep {
	journaled := record.Order.OrderID != ""
	switch {
	case journaled && record.Order.Fencing != fencing:
		return SupplyClaim
	case record.Open:
		return SupplyRepeat
	case wanted == nil:
		return SupplyNothing
	case journaled && record.Order.DesiredCount == wanted.DesiredCount:
		return SupplyNothing
	}
	return SupplyOrder
}
