package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Holds lists the targets that get no new work since an order for them is being
// carried out. It stands in the store beside the configuration and spreads as
// the configuration does.
type Holds struct {
	Targets []Hold `json:"targets"`
}

// Hold is one target that gets no new work.
type Hold struct {
	Target  ident.Target  `json:"target"`
	Duty    ident.Duty    `json:"duty"`
	Fencing ident.Fencing `json:"fencing"`
	Reason  string        `json:"reason"`
}
