package daemon

import (
	"slices"

	"github.com/google/uuid"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/duty"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/orders"
	"amaranthplank.example/amaranthplank/pkg/roles"
	"amaranthplank.example/amaranthplank/pkg/rollout"
	"amaranthplank.example/amaranthplank/pkg/supply"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/usage"
)

// newOrders makes what carries out orders to engines.
func (d *Daemon) newOrders() {
	d.engines = orders.NewEngineManager(orders.EngineOptions{
		Host: d.opts.Host, Incarnation: d.incarnation, View: d.targets, Store: d.opts.Store,
		NewPlanner: d.newEnginePlanner,
		Client:     target.NewControl(target.NewClient(), d.opts.Credential),
		Holds:      d.acceptance, Termination: newFates(d.members, d.opts.Hosts), Weights: d.opts.Weights,
		Clock: clock.Boot{}, NewID: uuid.NewString, Terms: orders.DefaultTerms(), Log: d.opts.Log, Registerer: d.registry,
	})
}

// newEnginePlanner returns the planner of one hold of a model's duty. A load of
// another version goes before a change of role.
func (d *Daemon) newEnginePlanner(ident.Model) orders.EnginePlanner {
	return orders.Planners{
		&rollout.Planner{Version: d.modelVersion, Knobs: d.roleKnobs},
		roles.NewPlanner(d.roleKnobs),
	}
}

// modelVersion returns the version that a model's engines are to load.
func (d *Daemon) modelVersion(name ident.Model) string {
	snapshot := d.config.Current()
	if snapshot == nil {
		return ""
	}
	for i := range snapshot.Document.Models {
		if snapshot.Document.Models[i].Name == name {
			return snapshot.Document.Models[i].Version
		}
	}
	return ""
}

// newSupply makes what orders targets from the platform.
func (d *Daemon) newSupply() {
	d.supply = orders.NewSupplyManager(orders.SupplyOptions{
		Host: d.opts.Host, Incarnation: d.incarnation, View: d.targets, Store: d.opts.Store, Platform: d.opts.Targets,
		NewPlanner: func() orders.SupplyPlanner {
			return supply.NewPlanner(supply.Options{Domains: d.failureDomains(), Knobs: d.supplyKnobs})
		},
		NewID: uuid.NewString, Terms: orders.DefaultTerms(), Log: d.opts.Log,
	})
}

// failureDomains returns the failure domains of the hosts and targets that are
// known, in order.
func (d *Daemon) failureDomains() []ident.FailureDomain {
	domains := []ident.FailureDomain{d.opts.FailureDomain}
	for _, member := range d.members.Members() {
		domains = append(domains, member.FailureDomain)
	}
	snapshot := d.targets.Snapshot()
	for i := range snapshot.Targets {
		domains = append(domains, snapshot.Targets[i].Record.FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// supplyKnobs returns the values in force for a model.
func (d *Daemon) supplyKnobs(model ident.Model) *config.SupplyKnobs {
	return &d.knobs(config.Selector{Model: model}).Supply
}

// roleKnobs returns the values in force for a model.
func (d *Daemon) roleKnobs(model ident.Model) *config.RoleKnobs {
	return &d.knobs(config.Selector{Model: model}).Roles
}

// works returns the work of every duty that there is at present.
func (d *Daemon) works() map[ident.Duty]lease.Work {
	works := map[ident.Duty]lease.Work{config.RosterDuty: d.rosterKeeper().Work, duty.Supply: d.supply.Work}
	for shard := range usage.Shards {
		works[usage.Duty(shard)] = d.usageReporter(shard).Work
	}
	snapshot := d.config.Current()
	if snapshot == nil {
		return works
	}
	for i := range snapshot.Document.Models {
		works[duty.Engines(snapshot.Document.Models[i].Name)] = d.engines.Work
	}
	return works
}
