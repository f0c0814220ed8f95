package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SendGate is implemented by routers that decide on what targets state about
// themselves in their answers. It is called when a request is sent, since that may be
// long after the target was chosen.
type SendGate interface {
	// CheckSend returns why nothing new may be sent to a target's incarnation now,
	// or nil. The error is ErrLeaving, ErrPaused, ErrAbsent or ErrLimited.
	CheckSend(target ident.Target, incarnation ident.Incarnation) error
	// BeginSend makes the check of CheckSend and counts the request, also against the
	// target's limit. If the target works on the request already, its leaving and its
	// absence do not matter. Unless it fails, the Send must be ended.
	BeginSend(target ident.Target, incarnation ident.Incarnation, running bool) (Send, error)
	// BeginOrder counts an order or a report request against the target's limit, and
	// returns ErrLimited if it must not be sent now. Whoever orders checks the rest.
	BeginOrder(target ident.Target, incarnation ident.Incarnation) error
	// ObserveNotice records what a target's incarnation stated in an answer, but for its
	// limit.
	ObserveNotice(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice)
	// ObserveLimit records what a target's incarnation stated about its limit in the
	// answer to a request that was sent at the given time.
	ObserveLimit(target ident.Target, incarnation ident.Incarnation, sentAt time.Time, limit fleet.RequestLimit)
}

var _ SendGate = (*CombinedRouter)(nil)

// CheckSend checks whether the target is there, its notices and its limit.
func (c *CombinedRouter) CheckSend(target ident.Target, incarnation ident.Incarnation) error {
	if err := c.Models.opts.absences.checkSend(target, incarnation); err != nil {
		return err
	}
	if err := c.Models.opts.notices.check(target, incarnation); err != nil {
		return err
	}
	return limitError(c.Models.opts.Limits.Wait(target, incarnation))
}

// BeginOrder uses a slot of the target's limit.
func (c *CombinedRouter) BeginOrder(target ident.Target, incarnation ident.Incarnation) error {
	wait, _ := c.Models.opts.Limits.Take(target, incarnation)
	return limitError(wait)
}

// BeginSend makes the check of CheckSend and counts the request at a target that returns
// gradually.
func (c *CombinedRouter) BeginSend(target ident.Target, incarnation ident.Incarnation, running bool) (Send, error) {
	absences := c.Models.opts.absences
	if err := absences.checkSend(target, incarnation); err != nil && !running {
		return Send{}, err
	}
	send, err := c.Models.opts.notices.begin(target, incarnation, running)
	send.absences = absences
	if err != nil {
		return send, err
	}
	send.limit = limitedSend{limits: c.Models.opts.Limits, now: c.Models.opts.Now, target: target, incarnation: incarnation}
	if err := send.limit.take(); err != nil {
		send.End(EvidenceUnreliable)
		return Send{}, err
	}
	return send, nil
}

// ObserveNotice records the notice for service calls and model requests alike.
func (c *CombinedRouter) ObserveNotice(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice) {
	c.Models.opts.notices.observe(target, incarnation, notice)
}

// ObserveLimit records the limit for service calls and model requests alike.
func (c *CombinedRouter) ObserveLimit(target ident.Target, incarnation ident.Incarnation, sentAt time.Time, limit fleet.RequestLimit) {
	switch limits := c.Models.opts.Limits; limit.Statement {
	case fleet.LimitStated:
		limits.ObserveLimit(target, incarnation, limit.PerSecond)
	case fleet.LimitNone:
		limits.ObserveNoLimit(target, incarnation, sentAt)
	case fleet.LimitUnknown:
	}
}

// Send is a request that is being sent to a target, up to the head of its answer.
type Send struct {
	notices     *targetNotices
	absences    *absences
	target      ident.Target
	incarnation ident.Incarnation
	running     bool
	// counted is the state that counts the request, or nil. pauses is the number of
	// its pauses at that time.
	counted *noticeState
	pauses  int
	limit   limitedSend
}

// Check returns why the request may no longer be sent, or nil.
func (s *Send) Check() error {
	if err := s.absences.checkSend(s.target, s.incarnation); err != nil && !s.running {
		return err
	}
	if err := s.checkNotices(); err != nil {
		return err
	}
	return s.limit.check()
}

// checkNotices returns why the target's notices withhold the request, or nil.
func (s *Send) checkNotices() error {
	if s.notices.count.Load() == 0 {
		return nil
	}
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	state := s.notices.lookUp(s.target, s.incarnation)
	if state == nil {
		return nil
	}
	if state.leaving && !s.running {
		return ErrLeaving
	}
	if now := s.notices.now(); now.Before(state.pausedUntil) {
		return ErrPaused.WithRetryAfter(state.pausedUntil.Sub(now))
	}
	return nil
}

// End ends the send with what it showed about the target. An answer's notice must have
// been observed before.
func (s *Send) End(evidence Evidence) {
	s.absences.observe(s.target, s.incarnation, evidence)
	if s.counted == nil {
		return
	}
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	s.counted.end(s.pauses, evidence >= EvidenceMisdirected, s.notices.now())
}
