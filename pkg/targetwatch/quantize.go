package targetwatch

import (
	"math/bits"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// stepBits is the number of bits kept below the highest: the quantization step is
// at most an eighth of the number.
const stepBits = 3

// quantize rounds a number down by less than an eighth, so that small changes of
// large numbers are not published. Numbers below 16 stay exact.
func quantize(n int) int {
	if n <= 0 {
		return 0
	}
	shift := max(bits.Len(uint(n))-stepBits-1, 0)
	return n >> shift << shift
}

// quantizeReport returns the report to publish. Its numbers are quantized, since
// small changes carry no useful information for other daemons. Its time is in UTC
// without a monotonic clock reading.
func quantizeReport(report fleet.LoadReport) fleet.LoadReport {
	report.Running = quantize(report.Running)
	report.Queued = quantize(report.Queued)
	report.PrefillTokens = quantize(report.PrefillTokens)
	report.CachePieces = quantize(report.CachePieces)
	report.TakenAt = report.TakenAt.Truncate(0).UTC()
	return report
}

// sameLoad reports whether two reports are equal apart from their sequence number
// and time.
func sameLoad(a, b fleet.LoadReport) bool {
	a.Sequence, a.TakenAt = b.Sequence, b.TakenAt
	return a == b
}
