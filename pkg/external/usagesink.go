package external

import "context"

// UsageSink takes the usage reports. A report that is sent again must bear
// the same figures.
type UsageSink interface {
	// Report hands in one window's figures. It fails with kind Conflict where
	// the window was reported with other figures, Fenced where a higher
	// fencing number was seen.
	Report(ctx context.Context, report UsageReport) error
}
