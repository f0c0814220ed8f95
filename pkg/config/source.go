package config

// Source gives the configuration in force.
type Source interface {
	// Current returns the newest accepted configuration, or nil before the
	// first was read.
	Current() *Snapshot
}
