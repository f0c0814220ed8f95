package backlog

import (
	"slices"
	"time"
)

// sendSchedule decides when a report is sent: after a change, and every
// repeatInterval while prompts are outstanding.
type sendSchedule struct {
	checkedAt time.Time
	sentAt    time.Time
	lastSent  []Outstanding
}

// due reports whether to send the report now, and if so records it as sent.
func (s *sendSchedule) due(report *Report, now time.Time) bool {
	same := len(report.Placed)+len(report.Away)+len(report.Limits)+len(report.Begun)+len(report.Probed)+len(report.Times) == 0 && slices.Equal(report.Outstanding, s.lastSent)
	if same && (len(s.lastSent) == 0 || now.Sub(s.sentAt) < repeatInterval) {
		return false
	}
	s.lastSent, s.sentAt = report.Outstanding, now
	return true
}
