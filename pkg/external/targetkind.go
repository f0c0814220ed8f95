package external

// TargetKind is the terms on which the platform provides a target.
type TargetKind string

// The kinds of target.
const (
	// Dependable targets stay until they are released.
	Dependable TargetKind = "dependable"
	// Reclaimable targets are cheaper, but the platform may reclaim them at short
	// notice, all those of a failure domain simultaneously.
	Reclaimable TargetKind = "reclaimable"
)
