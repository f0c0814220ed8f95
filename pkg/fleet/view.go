package fleet

// View provides the newest snapshot of the targets.
type View interface {
	// Snapshot returns the newest snapshot; it is never nil.
	Snapshot() *Snapshot
}
