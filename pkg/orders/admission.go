package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// mayStart reports whether an order may start while others are open. At most one
// order that takes an engine out of service is open in each failure domain of a
// model; orders of earlier holders count too.
func mayStart(open []Record, engine external.TargetRecord, kind target.OrderKind) bool {
	if !RequiresIdle(kind) {
		return true
	}
	for i := range open {
		if open[i].FailureDomain == engine.FailureDomain && open[i].Model == engine.Model && RequiresIdle(open[i].Order.Kind) {
			return false
		}
	}
	return true
}

// newRecord returns the record that follows a target's last one in the journal.
func newRecord(last Record, engine external.TargetRecord, order target.Order, id string) Record {
	order.OrderID, order.Fencing = id, 0
	return Record{
		Target: engine.Target, Number: last.Number + 1, Order: order, Phase: PhaseWanted,
		FailureDomain: engine.FailureDomain, Model: engine.Model, version: last.version,
	}
}
