package daemon

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/supply"
)

// supplyPlanner plans over the failure domains that have been seen. A new one
// starts the plan anew from the targets at hand.
type supplyPlanner struct {
	daemon  *Daemon
	domains []ident.FailureDomain
	planner *supply.Planner
}

var _ orders.SupplyPlanner = (*supplyPlanner)(nil)

// PlanSupply returns the wanted counts.
func (p *supplyPlanner) PlanSupply(snapshot *fleet.Snapshot, now time.Time) []platform.TargetOrder {
	domains := p.seen(snapshot)
	if p.planner == nil || len(domains) > len(p.domains) {
		p.domains = domains
		p.planner = supply.NewPlanner(supply.Options{Domains: domains, Knobs: p.knobs})
	}
	return p.planner.PlanSupply(snapshot, now)
}

// seen returns the failure domains of the plan, of the targets and of the
// daemons, in order.
func (p *supplyPlanner) seen(snapshot *fleet.Snapshot) []ident.FailureDomain {
	domains := slices.Clone(p.domains)
	for i := range snapshot.Targets {
		domains = append(domains, snapshot.Targets[i].Record.FailureDomain)
	}
	for _, member := range p.daemon.members.Members() {
		domains = append(domains, member.FailureDomain)
	}
	domains = append(domains, p.daemon.opts.FailureDomain)
	slices.Sort(domains)
	return slices.Compact(domains)
}

// knobs returns the values in force for a model.
func (p *supplyPlanner) knobs(model ident.Model) *config.SupplyKnobs {
	return &p.daemon.knobs(config.Selector{Model: model}).Supply
}
