package external

import "context"

// UsageSink receives usage reports. A report that is sent again must contain the
// same figures.
type UsageSink interface {
	// Report submits one window's report. It fails with kind Conflict if the
	// window was reported with other figures, and with kind Fenced if a higher
	// fencing token was seen.
	Report(ctx context.Context, report UsageReport) error
}
