package retry

import "time"

// Share is the part of a limit on retries that one process may use of its own accord.
type Share struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Burst is the number of retries that may follow each other directly after a
	// period without retries.
	Burst float64
	// FullAt is when the budget is filled for the first time, less the retries taken
	// before. Until then it holds only what requests have added. If it is zero, the
	// budget is full at once.
	FullAt time.Time
}
