package config

import (
	"encoding/json"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Holds is the part of the control state that the daemons themselves write. It
// lists the targets that get no new work because an order for them is being
// carried out, and the roster. It is stored next to the configuration and
// propagates in the same way.
type Holds struct {
	Targets []Hold `json:"targets"`
	// Roster must be preserved when Targets is written.
	Roster Roster `json:"roster,omitzero"`
}

// Hold is one target that gets no new work.
type Hold struct {
	Target  ident.Target       `json:"target"`
	Duty    ident.Duty         `json:"duty"`
	Fencing ident.FencingToken `json:"fencing"`
	Reason  string             `json:"reason"`
}

// HoldsSnapshot is one revision of the holds, indexed for the request path. It is
// immutable.
type HoldsSnapshot struct {
	Revision ident.Revision
	Holds    Holds
	held     map[ident.Target]bool
}

// newHoldsSnapshot indexes the holds.
func newHoldsSnapshot(revision ident.Revision, holds Holds) *HoldsSnapshot {
	s := &HoldsSnapshot{Revision: revision, Holds: holds, held: make(map[ident.Target]bool, len(holds.Targets))}
	for _, hold := range holds.Targets {
		s.held[hold.Target] = true
	}
	return s
}

// IsHeld reports whether the target gets no new work.
func (s *HoldsSnapshot) IsHeld(target ident.Target) bool { return s != nil && s.held[target] }

// ParseHolds decodes holds as encoded in the store.
func ParseHolds(value []byte) (Holds, error) {
	var holds Holds
	if err := json.Unmarshal(value, &holds); err != nil {
		return holds, fault.Wrap(err, fault.Invalid, "the holds in the store are malformed", "delete the store key "+string(HoldsKey)+" once amaranthctl status shows no open order")
	}
	return holds, nil
}
