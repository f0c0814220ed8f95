package config

import "amaranthplank.example/amaranthplank/pkg/ident"

// Revisions holds the revisions of the two parts of the control state. Each only
// increases.
type Revisions struct {
	Config ident.Revision `json:"config" codec:"c"`
	Holds  ident.Revision `json:"holds" codec:"h"`
}

// Covers reports whether both revisions are at least as new as the other's.
func (r Revisions) Covers(other Revisions) bool {
	return r.Config >= other.Config && r.Holds >= other.Holds
}

// merge returns the newer revision of each part.
func (r Revisions) merge(other Revisions) Revisions {
	return Revisions{Config: max(r.Config, other.Config), Holds: max(r.Holds, other.Holds)}
}
