package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyStep is what to do next about a group.
type SupplyStep string

// The steps.
const (
	// SupplyNothing leaves the group as it is.
	SupplyNothing SupplyStep = "nothing"
	// SupplyClaim writes the journalled order anew under this holder's number
	// and opens it, so that the platform refuses earlier holders from then on.
	SupplyClaim SupplyStep = "claim"
	// SupplyRepeat sends the journalled order.
	SupplyRepeat SupplyStep = "repeat"
	// SupplyOrder journals a new order.
	SupplyOrder SupplyStep = "order"
)

// SupplyNext returns what to do about a group: the journalled order is settled
// under this holder's number before another one is begun. wanted is nil where
// the planner says nothing of the group.
func SupplyNext(record SupplyRecord, wanted *external.TargetOrder, fencing ident.Fencing) SupplyStep {
	known := record.Order.OrderID != ""
	switch {
	case known && record.Order.Fencing != fencing:
		return SupplyClaim
	case record.Open:
		return SupplyRepeat
	case wanted == nil:
		return SupplyNothing
	case known && record.Order.Wanted == wanted.Wanted:
		return SupplyNothing
	}
	return SupplyOrder
}
