package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// gate says whether an order may begin beside those that are open. At most one
// order that takes an engine away is open in each failure domain of a model,
// also where it is an earlier holder's.
func gate(open []Record, engine external.TargetRecord, kind target.OrderKind) bool {
	if !NeedsQuiet(kind) {
		return true
	}
	for i := range open {
		if open[i].FailureDomain == engine.FailureDomain && open[i].Model == engine.Model && NeedsQuiet(open[i].Order.Kind) {
			return false
		}
	}
	return true
}

// newRecord returns the journal's next entry for a target, after its last one.
func newRecord(last Record, engine external.TargetRecord, order target.Order, id string) Record {
	order.OrderID, order.Fencing = id, 0
	return Record{
		Target: engine.Target, Number: last.Number + 1, Order: order, Phase: PhaseWanted,
		FailureDomain: engine.FailureDomain, Model: engine.Model, version: last.version,
	}
}
