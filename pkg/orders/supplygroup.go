package orders

import (
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyGroup is what one target order speaks of.
type SupplyGroup struct {
	Model         ident.Model
	FailureDomain ident.FailureDomain
	Kind          external.TargetKind
}

// groupOf returns an order's group.
func groupOf(order external.TargetOrder) SupplyGroup {
	return SupplyGroup{Model: order.Model, FailureDomain: order.FailureDomain, Kind: order.Kind}
}

// key returns the group's key in the journal of a duty.
func (g SupplyGroup) key(duty ident.Duty) external.Key {
	return prefixOf(duty) + external.Key(g.FailureDomain) + "/" + external.Key(g.Kind) + "/" + external.Key(g.Model)
}
