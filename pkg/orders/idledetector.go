package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// idleDetector detects from a target's own reports whether the target is idle.
type idleDetector struct {
	// first is the first report received while the hold is in force. It may
	// have been taken before that, by at most the lag of reports.
	first   fleet.LoadReport
	started bool
}

// observe processes a report and reports whether it shows an idle target and was
// certainly taken after the hold came into force: at least margin after the first
// report. Both times are by the target's clock. After a restart of the target the
// detection starts over.
func (d *idleDetector) observe(report fleet.LoadReport, inForce bool, margin time.Duration) bool {
	if !inForce {
		d.started = false
		return false
	}
	if !d.started || report.Incarnation != d.first.Incarnation {
		d.first, d.started = report, true
		return false
	}
	afterMargin := report.TakenAt.Sub(d.first.TakenAt) >= margin
	return afterMargin && report.Running == 0 && report.Queued == 0
}
