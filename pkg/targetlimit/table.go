package targetlimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// hostsInterval is the time between updates of the hosts.
const hostsInterval = time.Second

// Options configure a Table.
type Options struct {
	// Self is this daemon's host.
	Self ident.Host
	// Hosts returns the hosts of the other daemons that are present. Nil means none.
	Hosts func() []ident.Host
	Now   func() time.Time
	// TrueTime returns the true time in Unix milliseconds. Nil means that of Now.
	TrueTime func() int64
	// SettleTime is the time after the start within which all daemons know of this one.
	// Until then it sends nothing to targets with a limit.
	SettleTime time.Duration
	Random     *rand.Rand
	// OnChange is called when a target begins to state a limit, changes or ends it. It
	// must not block or call the table, and may be nil.
	OnChange func(statement Statement)
}

// Table holds the limits that targets state, and gives out this daemon's slots. It is
// safe for concurrent use.
type Table struct {
	opts      Options
	startedAt time.Time
	// count is the number of targets with a state, so that a check costs nothing while
	// there are none.
	count atomic.Int64

	mu     sync.Mutex
	hosts  hostMemory
	states map[ident.Target]*limitState
}

// New returns a table without limits, of a process that starts now.
func New(opts Options) *Table {
	if opts.TrueTime == nil {
		opts.TrueTime = func() int64 { return opts.Now().UnixMilli() }
	}
	t := &Table{
		opts: opts, startedAt: opts.Now(), states: make(map[ident.Target]*limitState),
		hosts: hostMemory{seenAt: make(map[ident.Host]time.Time)},
	}
	t.UpdateHosts()
	return t
}

// Run updates the hosts until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	return clock.Every(ctx, hostsInterval, func() error {
		t.UpdateHosts()
		return nil
	})
}

// UpdateHosts brings the hosts up to date, and forgets limits of which nothing was
// received for long.
func (t *Table) UpdateHosts() {
	present := []ident.Host{t.opts.Self}
	if t.opts.Hosts != nil {
		present = append(present, t.opts.Hosts()...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	t.hosts.update(present, now)
	for target, s := range t.states {
		if now.Sub(s.heardAt) > retention {
			delete(t.states, target)
		}
	}
	t.count.Store(int64(len(t.states)))
}

// ObserveLimit records that a target stated a limit, in requests per second, in an answer
// to this daemon.
func (t *Table) ObserveLimit(target ident.Target, incarnation ident.Incarnation, perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.states[target]
	if known != nil && known.Incarnation > incarnation {
		return
	}
	news := known == nil || known.Incarnation != incarnation || !known.Limited || known.PerSecond != perSecond
	t.accept(Statement{Target: target, Incarnation: incarnation, At: t.nextTime(target), Limited: true, PerSecond: perSecond}, news)
}

// ObserveNoLimit records that a target's answer to a request that this daemon sent at the
// given time states no limit. One to a request from before the newest statement ends
// nothing, since answers may overtake each other.
func (t *Table) ObserveNoLimit(target ident.Target, incarnation ident.Incarnation, sentAt time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.states[target]
	if known == nil || known.Incarnation > incarnation || !known.Limited {
		return
	}
	if known.Incarnation == incarnation && !sentAt.After(known.limitedAt) {
		return
	}
	t.accept(Statement{Target: target, Incarnation: incarnation, At: t.nextTime(target)}, true)
	t.states[target].repeats = endRepeats
}

// Learn records what other daemons know.
func (t *Table) Learn(statements []Statement) {
	if len(statements) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for _, statement := range statements {
		known := t.states[statement.Target]
		if known == nil || statement.compare(&known.Statement) > 0 {
			t.accept(statement, false)
			known = t.states[statement.Target]
		}
		if statement.Limited == known.Limited && statement.Incarnation == known.Incarnation {
			known.heardAt, known.spokenAt = now, now
		}
	}
}

// nextTime returns the time of a new statement on a target: the true time, but later than
// that of the known one. t.mu must be held.
func (t *Table) nextTime(target ident.Target) int64 {
	now := t.opts.TrueTime()
	if known := t.states[target]; known != nil {
		return max(now, known.At+1)
	}
	return now
}

// accept replaces what is known of a target. unsent is set if it is to be sent to the
// other daemons. t.mu must be held.
func (t *Table) accept(statement Statement, unsent bool) {
	now := t.opts.Now()
	s := t.states[statement.Target]
	if s == nil || s.Incarnation != statement.Incarnation || (!s.Limited && statement.Limited) {
		s = &limitState{hostsVersion: -1, Statement: Statement{Target: statement.Target}}
		t.states[statement.Target] = s
		t.count.Store(int64(len(t.states)))
	}
	changed := s.Limited != statement.Limited || s.PerSecond != statement.PerSecond
	s.Statement, s.heardAt = statement, now
	if statement.Limited {
		s.limitedAt = now
	}
	s.unsent = s.unsent || unsent
	s.repeats = 0
	if changed && t.opts.OnChange != nil {
		t.opts.OnChange(statement)
	}
}

// Rank returns how many of the hosts come before this one for a target, in the order in
// which they get its seats.
func (t *Table) Rank(target ident.Target) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seatRank(target, t.opts.Self, t.hosts.hosts)
}

// Due returns the statements that are to be sent to the other daemons now.
func (t *Table) Due() (statements []Statement) {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for _, s := range t.states {
		if !s.due(t.opts.Self, &t.hosts, now) {
			continue
		}
		if !s.unsent {
			s.repeats = max(0, s.repeats-1)
		}
		s.unsent, s.spokenAt = false, now
		statements = append(statements, s.Statement)
	}
	return statements
}

// Wait returns the time until this daemon may send the next request to a target's
// incarnation, or zero if it may now.
func (t *Table) Wait(target ident.Target, incarnation ident.Incarnation) time.Duration {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitOf(target, incarnation)
	if s == nil {
		return 0
	}
	return t.wait(s, t.opts.Now())
}

// Take uses a slot to send a request to a target's incarnation. If none is free it returns
// the time until one is; limited is set if the target states a limit.
func (t *Table) Take(target ident.Target, incarnation ident.Incarnation) (wait time.Duration, limited bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limitOf(target, incarnation)
	if s == nil {
		return 0, false
	}
	now := t.opts.Now()
	if wait := t.wait(s, now); wait > 0 {
		return wait, true
	}
	s.slots.take(now)
	return 0, true
}

// limitOf returns the state that limits a target's incarnation, or nil. An incarnation
// before the one that made the statement is an outdated entry of it. t.mu must be held.
func (t *Table) limitOf(target ident.Target, incarnation ident.Incarnation) *limitState {
	if s := t.states[target]; s != nil && s.Limited && s.Incarnation >= incarnation {
		return s
	}
	return nil
}

// wait returns the time until this daemon has a slot. A daemon without a seat sends
// callers the time after which another has one. t.mu must be held.
func (t *Table) wait(s *limitState, now time.Time) time.Duration {
	if left := t.startedAt.Add(t.opts.SettleTime).Sub(now); left > 0 {
		return left
	}
	if !s.updateSlots(t.opts.Self, &t.hosts, now, t.opts.Random.Float64()) {
		return perRequest(1, usedRate(s.PerSecond))
	}
	return s.slots.wait(now)
}
