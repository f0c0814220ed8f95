package tally

import (
	"maps"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// windowKey is the store key of the newest closed window.
const windowKey external.Key = "tally/window"

// ClosedWindow is a window whose counts are fixed.
type ClosedWindow struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Reported is set once the platform has accepted the counts.
	Reported bool `json:"reported"`
	// FixedIn is the store's era in which the counts were fixed, and Era the one in
	// which a daemon that remembers the closed windows last wrote this state.
	FixedIn external.Era `json:"fixedIn,omitempty"`
	Era     external.Era `json:"era,omitempty"`
}

// equal reports whether two states are the same.
func (c *ClosedWindow) equal(other *ClosedWindow) bool {
	return c.Window == other.Window && c.Reported == other.Reported && c.FixedIn == other.FixedIn &&
		c.Era == other.Era && maps.Equal(c.Counts, other.Counts)
}

// merge returns the state that follows from two that are known. The later window wins,
// since a window is only closed after the one before was reported. If a window was
// fixed in two eras, the counts of the earlier one may have been reported before the
// store lost them. A window that was reported with any counts is not reported again.
func merge(a, b *ClosedWindow) ClosedWindow {
	switch {
	case a == nil:
		return *b
	case b == nil || a.Window > b.Window:
		return *a
	case a.Window < b.Window:
		return *b
	}
	merged := *a
	if b.FixedIn < a.FixedIn {
		merged = *b
	}
	merged.Reported = a.Reported || b.Reported
	merged.Era = max(a.Era, b.Era)
	return merged
}
