package tally

import (
	"encoding/json"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

var _ mirror.Listener = (*Counter)(nil)

// Follows reports whether a key tells which windows are closed.
func (c *Counter) Follows(key external.Key) bool { return key == windowKey }

// Outage does nothing: windows stay closed.
func (c *Counter) Outage(_, _ time.Time) {}

// Apply notes which windows are closed, whose counts are needed no more.
func (c *Counter) Apply(entries []external.Entry, _ bool, _ time.Time) {
	for i := range entries {
		if entries[i].Deleted {
			continue
		}
		var closed Closed
		if err := json.Unmarshal(entries[i].Value, &closed); err != nil {
			c.opts.Log.Error("closed usage window unreadable", "error", err)
			continue
		}
		c.mu.Lock()
		c.closed = max(c.closed, closed.Window)
		c.mu.Unlock()
	}
}
