package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// firstAdmitted is how many requests at once a target gets first after a pause.
	firstAdmitted = 1
	// lastAdmitted is the number at which the return from a pause is complete.
	lastAdmitted = 64
	// admitInterval is the time after which the number doubles although the target
	// has not answered: one that still refuses does so much sooner.
	admitInterval = 250 * time.Millisecond
	// noticeLogInterval is the least time between two reports of the pauses of one
	// target.
	noticeLogInterval = time.Second
)

// ErrLeaving withholds work from a target that stated that it leaves.
var ErrLeaving = fault.New(fault.Unavailable, "the target stated that it is leaving", "no action is needed: another target is chosen")

// ErrPaused withholds work from a target that stated a pause, until its end and then
// beyond the number of requests that are let in. Its RetryAfter is the time left.
var ErrPaused = fault.New(fault.Unavailable, "the target asked for a pause", "no action is needed: another target is chosen")

// ErrReturning withholds work from a target that is back from an absence, beyond the number
// of requests that are let in. Its RetryAfter is the time until more may be.
var ErrReturning = fault.New(fault.Unavailable, "the target returns from an absence", "no action is needed: another target is chosen")

// ErrLimited withholds work from a target that states how many requests a second it takes,
// while this daemon has none of them left. Its RetryAfter is the time until one is free.
var ErrLimited = fault.New(fault.Unavailable, "the target limits its requests", "no action is needed: another target is chosen")

// limitError returns ErrLimited if the time until a request may be sent is not zero.
func limitError(wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	return ErrLimited.WithRetryAfter(wait)
}

// noticeState is what one incarnation of a target stated, and how it returns from a
// pause.
type noticeState struct {
	incarnation ident.Incarnation
	leaving     bool
	// pausedUntil is the end of the last pause, or zero once the target has returned
	// from it.
	pausedUntil time.Time
	// absent is set if the target returns from an absence, not from a pause.
	absent bool
	// admitted is how many unanswered requests the target may have after the pause,
	// and sent how many it has. It last grew, or began to be used, at grownAt.
	admitted, sent int
	grownAt        time.Time
	// pauses numbers the pauses, so that requests from before one are not counted
	// after it.
	pauses int
	// pauseLoggedAt is when a pause was last reported; malformed is set once a
	// malformed one was.
	pauseLoggedAt time.Time
	malformed     bool
	// malformedLimit is set once a malformed limit was reported.
	malformedLimit bool
	// goneAt is when the target was first found missing from the view, or zero.
	goneAt time.Time
}

// pause starts a pause or extends it, and reports whether it is to be logged. After it
// the target returns from the beginning.
func (s *noticeState) pause(d time.Duration, now time.Time) bool {
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	s.admitted, s.sent, s.absent = firstAdmitted, 0, false
	s.pauses++
	if !s.pauseLoggedAt.IsZero() && now.Sub(s.pauseLoggedAt) < noticeLogInterval {
		return false
	}
	s.pauseLoggedAt = now
	return true
}

// beginReturn lets requests in gradually, as after a pause that ends now. A pause that has
// not ended continues.
func (s *noticeState) beginReturn(now time.Time) {
	if s.pausedUntil.Before(now) {
		s.pausedUntil, s.absent = now, true
	}
	s.admitted, s.sent = firstAdmitted, 0
	s.pauses++
}

// wait returns how long the target gets nothing because of a pause. It is zero if a
// request may be sent now.
func (s *noticeState) wait(now time.Time) time.Duration {
	if s.pausedUntil.IsZero() {
		return 0
	}
	if now.Before(s.pausedUntil) {
		return s.pausedUntil.Sub(now)
	}
	for s.sent > 0 && now.Sub(s.grownAt) >= admitInterval && s.admitted < lastAdmitted {
		s.grow(s.grownAt.Add(admitInterval))
	}
	if s.sent < s.admitted || s.admitted >= lastAdmitted {
		return 0
	}
	return admitInterval
}

// check returns why nothing may be sent to the target now, or nil. Of a request that
// the target works on already, its leaving does not matter. s may be nil.
func (s *noticeState) check(now time.Time, running bool) error {
	if s == nil {
		return nil
	}
	if s.leaving && !running {
		return ErrLeaving
	}
	wait := s.wait(now)
	switch {
	case wait > 0 && s.absent:
		return ErrReturning.WithRetryAfter(wait)
	case wait > 0:
		return ErrPaused.WithRetryAfter(wait)
	}
	return nil
}

// grow doubles the number of requests that the target may have. At lastAdmitted the
// target has returned.
func (s *noticeState) grow(now time.Time) {
	s.admitted, s.grownAt = s.admitted*2, now
	if s.admitted >= lastAdmitted {
		s.pausedUntil = time.Time{}
	}
}

// begin counts a request that is sent to a target after its pause, and reports whether
// it counted it.
func (s *noticeState) begin(now time.Time) bool {
	if s.pausedUntil.IsZero() {
		return false
	}
	if s.sent == 0 {
		s.grownAt = now
	}
	s.sent++
	return true
}

// end ends the count of a request that was begun after the given number of pauses. An
// answer lets more in, unless a pause began since.
func (s *noticeState) end(pauses int, answered bool, now time.Time) {
	if pauses != s.pauses || s.pausedUntil.IsZero() {
		return
	}
	s.sent--
	if answered {
		s.grow(now)
	}
}
