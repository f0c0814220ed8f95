package backlog

import (
	"slices"
	"time"
)

// cadence decides when a report is sent: when something changed, and else now and
// then while anything is outstanding.
type cadence struct {
	lookedAt time.Time
	sentAt   time.Time
	last     []Outstanding
}

// due reports whether a report is to be sent now, and takes it for sent if so.
func (c *cadence) due(report *Report, now time.Time) bool {
	same := len(report.Placed)+len(report.Away) == 0 && slices.Equal(report.Outstanding, c.last)
	if same && (len(c.last) == 0 || now.Sub(c.sentAt) < repeatEvery) {
		return false
	}
	c.last, c.sentAt = report.Outstanding, now
	return true
}
