package routing

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Probe is a connection that is to be made to a target, and closed immediately.
type Probe struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	Address     string
	// Lost is set if a connection to the target was lost. Otherwise it is absent.
	Lost bool
	// Refused is set after a probe if the target's host refused the connection.
	Refused bool
}

// ProbeSource schedules the probes of absent targets, and of those to which a connection was
// lost: one of either kind at a time for each target.
type ProbeSource interface {
	// NextProbe returns the time until the next probe is due, or false if there is none
	// to wait for.
	NextProbe() (time.Duration, bool)
	// ProbesChanged returns a channel that receives a value when NextProbe changed.
	ProbesChanged() <-chan struct{}
	// TakeProbes returns the probes that are due. ObserveProbe must be called for each.
	TakeProbes() []Probe
	// ObserveProbe records whether the connection was accepted.
	ObserveProbe(probe Probe, accepted bool)
}

var _ ProbeSource = (*CombinedRouter)(nil)

// NextProbe returns the time until the next probe of either kind.
func (c *CombinedRouter) NextProbe() (time.Duration, bool) {
	if c.Models.opts.restarts.probeDue() {
		return 0, true
	}
	return c.Models.opts.absences.nextProbe()
}

// ProbesChanged returns the channel of the absences.
func (c *CombinedRouter) ProbesChanged() <-chan struct{} { return c.Models.opts.absences.wake }

// TakeProbes returns the probes of models' and services' targets alike.
func (c *CombinedRouter) TakeProbes() []Probe {
	return append(c.Models.opts.restarts.takeProbes(), c.Models.opts.absences.takeProbes()...)
}

// ObserveProbe records the result of a probe.
func (c *CombinedRouter) ObserveProbe(probe Probe, accepted bool) {
	c.Models.opts.restarts.observeProbe(probe, accepted)
	if !probe.Lost {
		c.Models.opts.absences.observeProbe(probe, accepted)
	}
}

// nextProbe returns the time until the next probe is due.
func (s *absences) nextProbe() (shortest time.Duration, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, a := range s.targets {
		at, ok := a.nextEvent()
		if wait := max(0, at.Sub(now)); ok && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// takeProbes returns the probes that are due, and brings the absences up to the view.
func (s *absences) takeProbes() []Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endByView()
	var due []Probe
	for _, a := range s.targets {
		if a.probeDue(s.now()) {
			a.probing = true
			due = append(due, Probe{Target: a.target, Incarnation: a.incarnation, Address: a.address})
		}
	}
	return due
}

// endByView ends the absences that the view refutes. It notes which targets the view no
// longer has or has again, and removes the former in time. s.mu must be held.
func (s *absences) endByView() {
	snapshot := s.view.Snapshot()
	for _, a := range s.targets {
		state := snapshot.Target(a.target)
		switch {
		case state == nil && a.forgotten(s.now()):
			s.forget(a)
		case state == nil:
			a.departed = true
		case a.refutedBy(state):
			s.endByEntry(a, state, s.now())
		default:
			a.departed = false
		}
	}
}

// observeProbe records whether a probe's connection was accepted.
func (s *absences) observeProbe(probe Probe, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.targets[probe.Target]; a != nil && a.incarnation == probe.Incarnation {
		isolated := s.isolated()
		a.probed(accepted, isolated, s.now(), s.random.Float64(), s.turn(a))
		if !isolated && len(s.unsentProbes) < maxUnsent {
			s.unsentProbes = append(s.unsentProbes, backlog.ProbeResult{Target: probe.Target, Incarnation: probe.Incarnation, Accepted: accepted})
		}
	}
	s.wakeProber()
}

// TakeProbeResults returns the results of this daemon's probes since the last call, for the
// other daemons.
func (c *CombinedRouter) TakeProbeResults() []backlog.ProbeResult {
	return append(c.Models.opts.restarts.takeUnsent(), c.Models.opts.absences.takeProbeResults()...)
}

// LearnProbeResults records the results of other daemons' probes.
func (c *CombinedRouter) LearnProbeResults(results []backlog.ProbeResult) {
	if len(results) > 0 {
		c.Models.opts.restarts.learn(results)
		c.Models.opts.absences.learnProbeResults(results)
	}
}

// takeProbeResults returns the results that were not sent yet.
func (s *absences) takeProbeResults() []backlog.ProbeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := s.unsentProbes
	s.unsentProbes = nil
	return results
}

// learnProbeResults records other daemons' results. A daemon that is cut off itself ignores
// them: it may not reach what they reach.
func (s *absences) learnProbeResults(results []backlog.ProbeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolated() {
		return
	}
	for _, result := range results {
		if a := s.targets[result.Target]; a != nil && a.incarnation == result.Incarnation {
			a.probedElsewhere(result.Accepted, s.now(), s.random.Float64(), s.turn(a))
		}
	}
	s.wakeProber()
}

// wakeProber signals that the next probe changed.
func (s *absences) wakeProber() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
