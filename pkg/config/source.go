package config

// Source provides the current configuration.
type Source interface {
	// Current returns the newest loaded configuration, or nil before the first
	// one.
	Current() *Snapshot
}
