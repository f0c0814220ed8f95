package tally

import (
	"encoding/json"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

var _ mirror.Listener = (*Counter)(nil)

// Follows reports whether a key holds the newest closed window.
func (c *Counter) Follows(key external.Key) bool { return key == windowKey }

// Outage does nothing, since a closed window is never reopened.
func (c *Counter) Outage(_, _ time.Time) {}

// Apply records the newest closed window. The counts up to it are dropped with the
// next checkpoint.
func (c *Counter) Apply(entries []external.Entry, _ bool, _ time.Time) {
	for i := range entries {
		if entries[i].Deleted {
			continue
		}
		var closed ClosedWindow
		if err := json.Unmarshal(entries[i].Value, &closed); err != nil {
			c.opts.Log.Error("closed usage window unreadable", "key", entries[i].Key, "error", err)
			continue
		}
		c.mu.Lock()
		c.closed = max(c.closed, closed.Window)
		c.mu.Unlock()
	}
}
