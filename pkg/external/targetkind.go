package external

// TargetKind is the terms on which a target is rented.
type TargetKind string

// The kinds of target.
const (
	// Dependable targets stay until they are given back.
	Dependable TargetKind = "dependable"
	// Reclaimable targets are cheaper, but the platform may reclaim them at short
	// notice, a whole failure domain at once.
	Reclaimable TargetKind = "reclaimable"
)
