package orders

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// SupplyGroup is what one target order speaks of.
type SupplyGroup struct {
	Model         ident.Model
	FailureDomain ident.FailureDomain
	Kind          platform.TargetKind
}

// groupOf returns an order's group.
func groupOf(order platform.TargetOrder) SupplyGroup {
	return SupplyGroup{Model: order.Model, FailureDomain: order.FailureDomain, Kind: order.Kind}
}

// key returns the group's key in the journal of a duty.
func (g SupplyGroup) key(duty ident.Duty) platform.Key {
	return prefixOf(duty) + platform.Key(g.FailureDomain) + "/" + platform.Key(g.Kind) + "/" + platform.Key(g.Model)
}
