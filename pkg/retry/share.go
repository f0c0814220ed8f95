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
	// Window is the length of the limit's windows. If it is set and Burst is below one,
	// no retry could ever be saved up: the retries of a window are then bounded by half
	// of Ratio times the requests of that window alone.
	Window time.Duration
}

// byRecent reports whether retries are bounded by the requests of the last window. In any
// window, those of all processes are then at most half of Ratio times the requests of it
// and of the one before it, however many processes there are or start.
func (s *Share) byRecent() bool { return s.Burst < 1 && s.Window >= recentSlots }
