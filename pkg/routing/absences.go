package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// ErrAbsent withholds work from a target that refuses connections, until it is seen to be
// back. Its RetryAfter is the time until it is expected.
var ErrAbsent = fault.New(fault.Unavailable, "the target refuses connections", "no action is needed: another target is chosen")

// PresenceChange is the beginning or the end of a target's absence.
type PresenceChange struct {
	Target ident.Target
	// Absent is set at the beginning. Replaced is set if another process has the
	// target's address, and Isolated if this daemon reaches less than half of its targets.
	Absent, Replaced, Isolated bool
	// Away is how long the absence lasted, at its end.
	Away time.Duration
}

// absences holds the targets that refused connections to this daemon, or that others
// replaced. It is shared by the routers of a daemon and safe for concurrent use.
type absences struct {
	view     fleet.View
	now      func() time.Time
	onChange func(change PresenceChange)
	notices  *targetNotices
	restarts *restarts
	// rank returns how many daemons probe a target before this one.
	rank func(target ident.Target) int
	// count is the number of targets, so that a check costs nothing while there are none.
	count atomic.Int64
	// wake receives a value when a probe was scheduled.
	wake chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	targets map[ident.Target]*absence
	// byAddress holds those of targets by address, the newest of each.
	byAddress map[string]*absence
	// typicalAway is how long targets were absent lately, by what they serve.
	typicalAway map[string]time.Duration
	// unsentProbes are the results of probes that were not sent to other daemons yet.
	unsentProbes []backlog.ProbeResult
}

// newAbsences returns a tracker without absent targets.
func newAbsences(opts *Options) *absences {
	return &absences{
		view: opts.View, now: opts.Now, onChange: opts.OnPresence, notices: opts.notices, restarts: opts.restarts, rank: opts.Limits.Rank, wake: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(opts.Random.Uint64(), opts.Random.Uint64())),
		targets: make(map[ident.Target]*absence), byAddress: make(map[string]*absence), typicalAway: make(map[string]time.Duration),
	}
}

// observe records what a send showed about a target's incarnation.
func (s *absences) observe(target ident.Target, incarnation ident.Incarnation, evidence Evidence) {
	if evidence == EvidenceUnreliable || (evidence == EvidencePresent && s.count.Load() == 0) {
		return
	}
	if evidence == EvidenceRefused {
		s.restarts.observeRefusal(target, incarnation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if evidence == EvidencePresent {
		s.observePresent(target, incarnation)
		return
	}
	a := s.absenceOf(target, incarnation)
	if a == nil {
		return
	}
	if s.decide(a, evidence) {
		s.notify(PresenceChange{Target: target, Absent: true, Replaced: a.replaced, Isolated: s.isolated()})
	}
	s.wakeProber()
}

// decide applies the evidence, and reports whether the target's absence begins with it.
// s.mu must be held.
func (s *absences) decide(a *absence, evidence Evidence) bool {
	if evidence == EvidenceRefused {
		return a.refused(s.now(), s.random.Float64(), s.turn(a))
	}
	return a.misdirected(s.now())
}

// turn returns how long this daemon waits for other daemons' results before it probes a
// target. A daemon that is cut off itself relies on none. s.mu must be held.
func (s *absences) turn(a *absence) time.Duration {
	if s.isolated() {
		return 0
	}
	return min(maxTurn, time.Duration(s.rank(a.target))*turnDelay)
}

// observePresent ends the absence of a target that responded. A replaced one did not: the
// response is a late one. s.mu must be held.
func (s *absences) observePresent(target ident.Target, incarnation ident.Incarnation) {
	if a := s.targets[target]; a != nil && a.incarnation == incarnation && !a.replaced {
		s.end(a, s.now())
	}
}

// absenceOf returns the entry of a target's incarnation, or nil if the view has none or
// another incarnation of it. s.mu must be held.
func (s *absences) absenceOf(target ident.Target, incarnation ident.Incarnation) *absence {
	state := s.view.Snapshot().Target(target)
	if state == nil || state.Incarnation != incarnation {
		return nil
	}
	a := s.targets[target]
	if a != nil && a.incarnation == incarnation {
		return a
	}
	s.endByView()
	a = &absence{
		target: target, incarnation: incarnation, address: state.Record.Address, serves: servedBy(state),
		engine: state.Record.Model != "", prompts: takesPrompts(state),
	}
	s.targets[target], s.byAddress[a.address] = a, a
	s.count.Store(int64(len(s.targets)))
	return a
}

// servedBy returns the model or service of a target.
func servedBy(state *fleet.TargetState) string {
	return string(state.Record.Model) + string(state.Record.Service)
}

// check returns why nothing may be sent to a target of the view because of its absence,
// or nil. It ends the absence that the target's state in the view refutes.
func (s *absences) check(state *fleet.TargetState) error {
	if s.count.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.targets[state.Record.Target], s.now()
	if a == nil {
		s.endReplaced(state, now)
		return nil
	}
	if a.refutedBy(state) {
		s.endByEntry(a, state, now)
		return nil
	}
	if a.departed {
		a.departed = false
		s.wakeProber()
	}
	return s.withhold(a, now)
}

// checkSend makes the check of check at the moment of sending, for the incarnation that
// was chosen.
func (s *absences) checkSend(target ident.Target, incarnation ident.Incarnation) error {
	if s.count.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.targets[target]
	if a == nil || a.incarnation < incarnation {
		return nil
	}
	return s.withhold(a, s.now())
}

// isAbsent reports whether a target is absent now.
func (s *absences) isAbsent(target ident.Target) bool {
	if s.count.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.targets[target]
	return a != nil && a.absent(s.now())
}

// withhold returns ErrAbsent for an absent target. One whose return begins gets requests
// gradually. s.mu must be held.
func (s *absences) withhold(a *absence, now time.Time) error {
	if a.absent(now) {
		return ErrAbsent.WithRetryAfter(a.expectedWait(now, s.typical(a.serves)))
	}
	if !a.since.IsZero() && !a.returned {
		a.returned = true
		s.notices.beginReturn(a.target, a.incarnation)
	}
	return nil
}

// endReplaced ends the absence of the target that had the given one's address before. s.mu
// must be held.
func (s *absences) endReplaced(state *fleet.TargetState, now time.Time) {
	a := s.byAddress[state.Record.Address]
	if a == nil || a.since.IsZero() || a.succeeded || a.serves != servedBy(state) {
		return
	}
	s.learn(a, now)
	a.succeeded = true
	a.markReplaced(now)
	s.notices.beginReturn(state.Record.Target, state.Incarnation)
}

// endByEntry ends an absence because the view has a later incarnation. s.mu must be held.
func (s *absences) endByEntry(a *absence, state *fleet.TargetState, now time.Time) {
	s.end(a, now)
	if !a.since.IsZero() {
		s.notices.beginReturn(state.Record.Target, state.Incarnation)
	}
}

// end removes a target and reports the end of its absence. s.mu must be held.
func (s *absences) end(a *absence, now time.Time) {
	s.forget(a)
	if a.since.IsZero() {
		return
	}
	s.learn(a, now)
	s.notify(PresenceChange{Target: a.target, Away: now.Sub(a.since)})
}

// forget removes a target. s.mu must be held.
func (s *absences) forget(a *absence) {
	delete(s.targets, a.target)
	if s.byAddress[a.address] == a {
		delete(s.byAddress, a.address)
	}
	s.count.Store(int64(len(s.targets)))
}

// learn updates how long targets like this one are expected to be absent. s.mu must be
// held.
func (s *absences) learn(a *absence, now time.Time) {
	typical := s.typical(a.serves)
	s.typicalAway[a.serves] = typical + time.Duration(awayWeight*float64(now.Sub(a.since)-typical))
}

// typical returns how long targets that serve the same are expected to be absent. s.mu
// must be held.
func (s *absences) typical(serves string) time.Duration {
	if typical, ok := s.typicalAway[serves]; ok {
		return typical
	}
	return initialAway
}

// isolated reports whether more than half of the view's targets are absent, as they seem
// to be if this daemon itself is cut off. s.mu must be held.
func (s *absences) isolated() bool {
	absent, now := 0, s.now()
	for _, a := range s.targets {
		if a.absent(now) && !a.replaced {
			absent++
		}
	}
	return 2*absent > len(s.view.Snapshot().Targets)
}

// notify calls onChange if it is set.
func (s *absences) notify(change PresenceChange) {
	if s.onChange != nil {
		s.onChange(change)
	}
}

// earliestReturn returns the shortest time after which an absent target that takes whole
// requests or answers of a model or service is expected to be back, jittered so that the
// callers who get it don't come together. It is false if none is absent.
func (s *absences) earliestReturn(serves string) (shortest time.Duration, found bool) {
	if s.count.Load() == 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endByView()
	now := s.now()
	for _, a := range s.targets {
		if a.serves != serves || a.prompts || a.succeeded || !a.absent(now) || s.leaving(a.target) {
			continue
		}
		if wait := a.expectedWait(now, s.typical(serves)); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return jittered(shortest, s.random.Float64()), found
}

// leaving reports whether a target leaves by the view. s.mu must be held.
func (s *absences) leaving(target ident.Target) bool {
	state := s.view.Snapshot().Target(target)
	return state != nil && (state.Draining || state.Record.Leaving)
}
