package retry

import (
	"sync"
	"time"
)

// Controller decides how one request continues after each failed attempt. It
// does no I/O. Its methods may be called concurrently, but no two decisions on the same
// attempt.
type Controller struct {
	mu     sync.Mutex
	caps   Capabilities
	limits Limits
	budget *Budget
	// attempts counts the attempts that were begun, except those that failed to
	// connect and are counted in unreachable.
	attempts int
	// reserved is set if the next retry was taken from the budget in advance.
	reserved bool
	// unreachable counts targets that could not be connected to, so that nothing
	// was sent to them, up to maxUnreachable.
	unreachable int
	// prefillFailures counts failed prefills, except those counted in
	// unreachable.
	prefillFailures int
	// resumes counts the resumes since the last progress.
	resumes int
	// mayHaveRun reports whether a byte of some attempt may have reached a target
	// that did not reject it. Once set, it is never cleared.
	mayHaveRun bool
	// failedRuns counts the failed attempts that a target may have run.
	failedRuns int
}

// NewController returns the controller of one request, and deposits the request's
// share of a retry in the budget.
func NewController(caps Capabilities, limits Limits, budget *Budget) *Controller {
	budget.Deposit()
	return &Controller{caps: caps, limits: limits, budget: budget}
}

// SetDeadline replaces the deadline.
func (c *Controller) SetDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits.Deadline = deadline
}

// BeginAttempt counts a new attempt.
func (c *Controller) BeginAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginAttempt()
}

// beginAttempt counts a new attempt; c.mu must be held.
func (c *Controller) beginAttempt() {
	c.attempts++
	c.resumes = 0
}

// TryHedge counts a second attempt, made while the first has not been answered.
// It reports false if none is allowed. Only idempotent requests may be hedged.
func (c *Controller) TryHedge(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.caps.Idempotent || !c.mayRetry(Sent, now) {
		return false
	}
	c.beginAttempt()
	return true
}

// Reserve reports whether another attempt would be allowed if the present one ended now
// in the given phase. If so, and if the retry is not free, it is taken from the budget for
// that case.
func (c *Controller) Reserve(phase Phase, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	may := c.mayRetry(phase, now)
	c.reserved = may && phase != Unsent
	return may
}

// RetryPrefill reports whether a failed prefill may be retried at another
// target. The retry is taken from the budget, unless the failed one sent
// nothing.
func (c *Controller) RetryPrefill(failure Failure, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Add(c.limits.MinAttemptTime).After(c.limits.Deadline) {
		return false
	}
	if failure == ConnectFailed && c.skipUnreachable() {
		return true
	}
	c.prefillFailures++
	return c.prefillFailures < maxPrefillAttempts && c.budget.Withdraw()
}

const (
	// maxPrefillAttempts bounds the targets that one request's prefill is sent
	// to.
	maxPrefillAttempts = 2
	// maxUnreachable bounds the targets that one request may skip because they
	// can't be connected to. Any further ones count as attempts. A refused connection
	// costs a millisecond and its target nothing; the deadline bounds those that time out.
	maxUnreachable = 8
)

// skipUnreachable counts a target that could not be connected to, and reports
// whether it may be skipped without counting as an attempt.
func (c *Controller) skipUnreachable() bool {
	if c.unreachable >= maxUnreachable {
		return false
	}
	c.unreachable++
	return true
}

// RecordProgress records that the attempt has received an event.
func (c *Controller) RecordProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumes = 0
}

// MayHaveRun reports whether some target may have run the request.
func (c *Controller) MayHaveRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRun
}

// FailedRuns returns how many of the failed attempts a target may have run.
func (c *Controller) FailedRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedRuns
}

// RecordFailure records that an attempt failed in the given phase while another one goes
// on, so that nothing has to be decided.
func (c *Controller) RecordFailure(phase Phase, failure Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordFailure(phase, failure)
}

// recordFailure records a failure; c.mu must be held.
func (c *Controller) recordFailure(phase Phase, failure Failure) {
	if phase != Unsent && failure != Rejected {
		c.mayHaveRun = true
		c.failedRuns++
	}
	if phase == Unsent && failure == ConnectFailed && c.skipUnreachable() {
		c.attempts--
	}
}

// AfterFailure returns what to do after an attempt failed in the given phase. A
// resume beyond the limits is treated as if the stream were gone, and a retry
// beyond them ends the request.
func (c *Controller) AfterFailure(phase Phase, failure Failure, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordFailure(phase, failure)
	decision := Decide(c.caps, phase, failure)
	if decision == Resume && !c.mayResume(now) {
		decision = Decide(c.caps, phase, StreamGone)
	}
	if decision == Again && !c.mayRetry(phase, now) {
		decision = c.exhausted(phase, failure)
	}
	if decision == EndNotRun && c.mayHaveRun {
		return EndUnknown
	}
	return decision
}

// mayResume counts one more resume, and reports whether it is allowed.
func (c *Controller) mayResume(now time.Time) bool {
	c.resumes++
	return c.resumes <= c.limits.MaxResumes && now.Before(c.limits.Deadline)
}

// mayRetry reports whether one more attempt is allowed, and takes it from the
// budget if so. After an attempt that was never sent the next one is free,
// because it cost the targets nothing: losing a failure domain must not use up
// the budget.
func (c *Controller) mayRetry(phase Phase, now time.Time) bool {
	if c.attempts >= c.limits.MaxAttempts {
		return false
	}
	if now.Add(c.limits.MinAttemptTime).After(c.limits.Deadline) {
		return false
	}
	if c.reserved {
		c.reserved = false
		return true
	}
	return phase == Unsent || c.budget.Withdraw()
}

// exhausted returns how a request ends when no retry is left.
func (c *Controller) exhausted(phase Phase, failure Failure) Decision {
	if phase == Streaming {
		return EndUnknown
	}
	if failure == Refused {
		return Forward
	}
	if c.mayHaveRun {
		return EndUnknown
	}
	return EndNotRun
}
