package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Revisions number the two parts of the control state. Each only rises.
type Revisions struct {
	Config ident.Revision `json:"config" codec:"c"`
	Holds  ident.Revision `json:"holds" codec:"h"`
}

// Covers reports whether neither part is older than the other's.
func (r Revisions) Covers(other Revisions) bool {
	return r.Config >= other.Config && r.Holds >= other.Holds
}

// raise returns the newer of each part.
func (r Revisions) raise(other Revisions) Revisions {
	return Revisions{Config: max(r.Config, other.Config), Holds: max(r.Holds, other.Holds)}
}
