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

// newOrders creates the manager that carries out orders to engines.
func (d *Daemon) newOrders() {
	d.engines = orders.NewEngineManager(orders.EngineOptions{
		Host: d.opts.Host, Incarnation: d.incarnation, View: d.targets, Store: d.opts.Store,
		NewPlanner: d.newEnginePlanner,
		Client:     target.NewControl(target.NewClient(), d.opts.Credential),
		Holds:      d.acceptance, Termination: newTerminationDetector(d.members, d.opts.Hosts), Weights: d.opts.Weights,
		Clock: clock.Boot{}, NewID: uuid.NewString, Timing: orders.DefaultTiming(), Log: d.opts.Log, Registerer: d.registry,
	})
}

// newEnginePlanner returns a new planner for a model; it is called each time that
// the model's duty is acquired. Loads of another version take precedence over role
// changes.
func (d *Daemon) newEnginePlanner(ident.Model) orders.EnginePlanner {
	return orders.Planners{
		&rollout.Planner{Version: d.modelVersion, Knobs: d.roleKnobs},
		roles.NewPlanner(d.roleKnobs),
	}
}

// modelVersion returns the version that a model's engines should load, or "" if
// the configuration does not list the model.
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

// newSupply creates the manager that orders targets from the platform.
func (d *Daemon) newSupply() {
	d.supply = orders.NewSupplyManager(orders.SupplyOptions{
		Host: d.opts.Host, Incarnation: d.incarnation, View: d.targets, Store: d.opts.Store, Platform: d.opts.Targets,
		NewPlanner: func() orders.SupplyPlanner {
			return supply.NewPlanner(supply.Options{Domains: d.failureDomains(), Knobs: d.supplyKnobs})
		},
		NewID: uuid.NewString, Timing: orders.DefaultTiming(), Log: d.opts.Log,
	})
}

// failureDomains returns the failure domains of all known hosts and targets,
// sorted and without duplicates.
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

// supplyKnobs returns the supply values that apply to a model.
func (d *Daemon) supplyKnobs(model ident.Model) *config.SupplyKnobs {
	return &d.knobs(config.Selector{Model: model}).Supply
}

// roleKnobs returns the role values that apply to a model.
func (d *Daemon) roleKnobs(model ident.Model) *config.RoleKnobs {
	return &d.knobs(config.Selector{Model: model}).Roles
}

// currentDuties returns the work of every duty that the current configuration
// requires.
func (d *Daemon) currentDuties() map[ident.Duty]lease.Work {
	duties := map[ident.Duty]lease.Work{config.RosterDuty: d.rosterKeeper().Work, duty.Supply: d.supply.Work}
	for shard := range usage.Shards {
		duties[usage.Duty(shard)] = d.usageReporter(shard).Work
	}
	snapshot := d.config.Current()
	if snapshot == nil {
		return duties
	}
	for i := range snapshot.Document.Models {
		duties[duty.Engines(snapshot.Document.Models[i].Name)] = d.engines.Work
	}
	return duties
}
