package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// quietWatch tells from a target's own reports whether nothing runs there.
type quietWatch struct {
	// first is the first report after the hold was in force. It may have
	// been taken earlier, by at most the lag of reports.
	first fleet.LoadReport
	begun bool
}

// observe takes a report in and reports whether it shows that nothing runs and
// was surely taken after the hold was in force. Both times are by the target's
// clock; a restart of the target begins anew.
func (q *quietWatch) observe(report fleet.LoadReport, inForce bool, after time.Duration) bool {
	if !inForce {
		q.begun = false
		return false
	}
	if !q.begun || report.Incarnation != q.first.Incarnation {
		q.first, q.begun = report, true
		return false
	}
	late := report.TakenAt.Sub(q.first.TakenAt) >= after
	return late && report.Running == 0 && report.Queued == 0
}
