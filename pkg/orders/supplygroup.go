package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyGroup identifies the group of targets whose count one target order sets.
type SupplyGroup struct {
	Model         ident.Model
	FailureDomain ident.FailureDomain
	Kind          external.TargetKind
}

// groupOf returns the group that a target order is for.
func groupOf(order external.TargetOrder) SupplyGroup {
	return SupplyGroup{Model: order.Model, FailureDomain: order.FailureDomain, Kind: order.Kind}
}

// key returns the group's key in the journal of a duty.
func (g SupplyGroup) key(duty ident.Duty) external.Key {
	return prefixOf(duty) + external.Key(g.FailureDomain) + "/" + external.Key(g.Kind) + "/" + external.Key(g.Model)
}
