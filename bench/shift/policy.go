package shift

import (
	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// baseline names a router without the product's decisions.
type baseline int

// The baselines.
const (
	ours baseline = iota
	roundRobin
	leastOutstanding
)

// policy is a way to decide, with parts left out.
type policy struct {
	name      string
	baseline  baseline
	routing   routing.Off
	admission admission.Off
	// noRoles leaves out role changes, noSupply the ordering of targets, and
	// noMoves the moving of work off targets that leave.
	noRoles  bool
	noSupply bool
	noMoves  bool
	// allDependable starts with dependable engines alone.
	allDependable bool
	// change alters the knobs, for trials.
	change func(*config.Knobs)
}

// rolesShare is the share of mixed engines where roles are changed.
const rolesShare = 0.5

// policies lists the measured ones.
func policies() []*policy {
	return []*policy{
		{name: "round robin", baseline: roundRobin, noRoles: true, noSupply: true, noMoves: true},
		{name: "least outstanding", baseline: leastOutstanding, noRoles: true, noSupply: true, noMoves: true},
		{name: "ours"},
		{name: "ours, with roles", change: func(k *config.Knobs) { k.Roles.MixedShare = rolesShare }},
		{name: "ours, all dependable", allDependable: true, noSupply: true},
		{name: "without affinity", routing: routing.Off{Affinity: true}},
		{name: "without index", routing: routing.Off{Index: true}},
		{name: "without own sends", routing: routing.Off{OwnSends: true}},
		{name: "without unseen", routing: routing.Off{PeerSends: true}},
		{name: "without random", routing: routing.Off{Random: true}},
		{name: "without apart", routing: routing.Off{Disaggregation: true}},
		{name: "without fairness", admission: admission.Off{Fair: true}},
		{name: "without excess", admission: admission.Off{Excess: true}},
		{name: "without classes", admission: admission.Off{Classes: true}},
		{name: "without shedding", admission: admission.Off{Shedding: true}},
		{name: "without gate", admission: admission.Off{Gate: true}},
		{name: "without supply", noSupply: true},
		{name: "without moves", noMoves: true},
	}
}

// policyNamed returns the policy with a name, or nil.
func policyNamed(name string) *policy {
	for _, p := range policies() {
		if p.name == name {
			return p
		}
	}
	return nil
}
