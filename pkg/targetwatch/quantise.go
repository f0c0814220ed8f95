package targetwatch

import (
	"math/bits"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// stepBits sets the step of a quantised figure to an eighth of its size.
const stepBits = 3

// quantise rounds a figure down to a step of an eighth of its size at most, so
// that small changes of large figures are not spread. Small figures are exact.
func quantise(n int) int {
	if n <= 0 {
		return 0
	}
	shift := max(bits.Len(uint(n))-stepBits-1, 0)
	return n >> shift << shift
}

// spreadable returns the report as it is spread: without what changes with
// every report and tells others nothing.
func spreadable(report fleet.LoadReport) fleet.LoadReport {
	report.Running = quantise(report.Running)
	report.Queued = quantise(report.Queued)
	report.PrefillTokens = quantise(report.PrefillTokens)
	report.CachePieces = quantise(report.CachePieces)
	report.TakenAt = report.TakenAt.Truncate(0).UTC()
	return report
}

// same reports whether two reports differ only in their sequence and time.
func same(a, b fleet.LoadReport) bool {
	a.Sequence, a.TakenAt = b.Sequence, b.TakenAt
	return a == b
}
