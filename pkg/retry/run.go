package retry

import "time"

// Run decides over the attempts of one request. It does no input or output and
// is used by one goroutine.
type Run struct {
	allowed Allowed
	limits  Limits
	budget  *Budget
	// attempts counts the attempts that were begun, but for unreached of them.
	attempts int
	// unreached counts targets that nothing was sent to, since they could not be
	// connected to. At most maxUnreached are counted.
	unreached int
	// prompts counts the tries at a prompt that failed.
	prompts int
	// resumes counts the resumes since the last event.
	resumes int
	// reached says that a byte of some attempt may have reached a target. It
	// never turns false again.
	reached bool
}

// NewRun returns the run of one request, and counts the request in the budget
// of its route.
func NewRun(allowed Allowed, limits Limits, budget *Budget) *Run {
	budget.Deposit()
	return &Run{allowed: allowed, limits: limits, budget: budget}
}

// Begin counts a new attempt.
func (r *Run) Begin() {
	r.attempts++
	r.resumes = 0
}

// Hedge counts an attempt beside one that has not answered yet, or reports that
// none is allowed. Only idempotent requests may be hedged.
func (r *Run) Hedge(now time.Time) bool {
	if !r.allowed.Idempotent || !r.mayRetry(Sent, now) {
		return false
	}
	r.Begin()
	return true
}

// Prompt reports whether a prompt that failed to be computed apart may be tried
// at one more target, and takes the try from the budget unless nothing was sent.
func (r *Run) Prompt(failure Failure, now time.Time) bool {
	if now.Add(r.limits.LeastTime).After(r.limits.Deadline) {
		return false
	}
	if failure == ConnectFailed && r.mayPass() {
		return true
	}
	r.prompts++
	return r.prompts < maxPrompts && r.budget.Withdraw()
}

const (
	// maxPrompts bounds the targets that one request's prompt is sent to.
	maxPrompts = 2
	// maxUnreached bounds the targets that one request passes over because they
	// can't be connected to. Those beyond it count as attempts.
	maxUnreached = 3
)

// mayPass counts a target that could not be connected to, and reports whether
// it may be passed over.
func (r *Run) mayPass() bool {
	if r.unreached >= maxUnreached {
		return false
	}
	r.unreached++
	return true
}

// Progress tells that the attempt has brought something new.
func (r *Run) Progress() { r.resumes = 0 }

// Reached says whether a byte of the request may have reached a target.
func (r *Run) Reached() bool { return r.reached }

// Failed returns what to do after an attempt failed in a phase. Where the table
// asks for more than the limits allow, the request ends.
func (r *Run) Failed(phase Phase, failure Failure, now time.Time) Decision {
	r.reached = r.reached || (phase != Unsent && failure != Rejected)
	if phase == Unsent && failure == ConnectFailed && r.mayPass() {
		r.attempts--
	}
	decision := Decide(r.allowed, phase, failure)
	if decision == Resume && !r.mayResume(now) {
		decision = Decide(r.allowed, phase, StreamGone)
	}
	if decision == Again && !r.mayRetry(phase, now) {
		decision = r.exhausted(phase, failure)
	}
	if decision == EndNotRun && r.reached {
		return EndUnknown
	}
	return decision
}

// mayResume counts one more resume, or reports that none is allowed.
func (r *Run) mayResume(now time.Time) bool {
	r.resumes++
	return r.resumes <= r.limits.MaxResumes && now.Before(r.limits.Deadline)
}

// mayRetry reports whether one more attempt is allowed, and takes it from the
// budget. An attempt that was never sent has cost the targets nothing, so that
// the next is free: a failure domain that is lost must not use the budget up.
func (r *Run) mayRetry(phase Phase, now time.Time) bool {
	if r.attempts >= r.limits.MaxAttempts {
		return false
	}
	if now.Add(r.limits.LeastTime).After(r.limits.Deadline) {
		return false
	}
	return phase == Unsent || r.budget.Withdraw()
}

// exhausted is the end of a request whose retries are used up.
func (r *Run) exhausted(phase Phase, failure Failure) Decision {
	if phase == Streaming {
		return EndUnknown
	}
	if failure == Refused {
		return HandOn
	}
	if r.reached {
		return EndUnknown
	}
	return EndNotRun
}
