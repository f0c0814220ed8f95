package shift

import (
	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/routing"
)

// baseline is a simple router to compare the product with. It has no admission
// queue.
type baseline int

// The baselines; noBaseline is the product itself.
const (
	noBaseline baseline = iota
	roundRobin
	leastOutstanding
)

// policy is a baseline, or the product with some of its parts disabled.
type policy struct {
	name      string
	baseline  baseline
	routing   routing.DisabledParts
	admission admission.DisabledParts
	// noRoles disables role changes, noSupply the ordering and return of engines,
	// and noMoves the moving of work off engines that leave.
	noRoles  bool
	noSupply bool
	noMoves  bool
	// allDependable starts with dependable engines only.
	allDependable bool
	// changeKnobs changes the built-in knobs; nil keeps them.
	changeKnobs func(*config.Knobs)
}

// mixedShareWithRoles is the knob MixedShare of the policy that has engines that
// only prefill or only decode.
const mixedShareWithRoles = 0.5

// policies returns the policies that are measured.
func policies() []*policy {
	return []*policy{
		{name: "round robin", baseline: roundRobin, noRoles: true, noSupply: true, noMoves: true},
		{name: "least outstanding", baseline: leastOutstanding, noRoles: true, noSupply: true, noMoves: true},
		// The product with its built-in knobs and no part disabled.
		{name: "ours"},
		{name: "ours, with roles", changeKnobs: func(k *config.Knobs) { k.Roles.MixedShare = mixedShareWithRoles }},
		{name: "ours, all dependable", allDependable: true, noSupply: true},
		{name: "without affinity", routing: routing.DisabledParts{Affinity: true}},
		{name: "without index", routing: routing.DisabledParts{Index: true}},
		{name: "without own sends", routing: routing.DisabledParts{OwnSends: true}},
		// Disables the estimate of other daemons' sends since an engine's last load report.
		{name: "without unseen", routing: routing.DisabledParts{PeerSends: true}},
		// Disables the random draw among near-equal engines: the cheapest is taken.
		{name: "without random", routing: routing.DisabledParts{RandomTieBreak: true}},
		// Disables running prefill and decode of a request on different engines.
		{name: "without apart", routing: routing.DisabledParts{Disaggregation: true}},
		{name: "without fairness", admission: admission.DisabledParts{Fairness: true}},
		// Disables the restriction of workspaces that exceed their share.
		{name: "without excess", admission: admission.DisabledParts{ExcessLimits: true}},
		{name: "without classes", admission: admission.DisabledParts{Classes: true}},
		{name: "without shedding", admission: admission.DisabledParts{Shedding: true}},
		{name: "without gate", admission: admission.DisabledParts{Gate: true}},
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
