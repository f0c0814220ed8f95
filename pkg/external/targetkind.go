package external

// TargetKind tells how a target is paid for.
type TargetKind string

// The kinds of target.
const (
	// Dependable targets stay until they are returned.
	Dependable TargetKind = "dependable"
	// Reclaimable targets are cheaper and may be taken back at short notice,
	// a whole failure domain at once.
	Reclaimable TargetKind = "reclaimable"
)
