package targetwatch

import (
	"math/bits"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// stepBits is the number of bits kept below the highest: the quantization step is
// at most an eighth of the number.
const stepBits = 3

// quantise rounds a number down by less than an eighth, so that small changes of
// large numbers are not published. Numbers below 16 stay exact.
func quantise(n int) int {
	if n <= 0 {
		return 0
	}
	shift := max(bits.Len(uint(n))-stepBits-1, 0)
	return n >> shift << shift
}

// quantiseReport returns the report to publish. Its numbers are quantized, since
// small changes carry no useful information for other daemons. Its time is in UTC
// without a monotonic clock reading.
func quantiseReport(report fleet.LoadReport) fleet.LoadReport {
	report.Running = quantise(report.Running)
	report.Queued = quantise(report.Queued)
	report.PrefillTokens = quantise(report.PrefillTokens)
	report.CachePieces = quantise(report.CachePieces)
	report.TakenAt = report.TakenAt.Truncate(0).UTC()
	return report
}

// sameLoad reports whether two reports are equal apart from their sequence number
// and time.
func sameLoad(a, b fleet.LoadReport) bool {
	a.Sequence, a.TakenAt = b.Sequence, b.TakenAt
	return a == b
}
