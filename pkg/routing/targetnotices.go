package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// noticeRetention is how long a notice is kept after its target has left the view. An
// entry that the store lost or kept too long may come back within that time.
const noticeRetention = 10 * time.Minute

// targetNotices holds what targets stated about themselves in their answers to this
// daemon, by target and incarnation. A notice holds whatever the view has of the
// target, until the view has a later incarnation. It is safe for concurrent use.
type targetNotices struct {
	view     fleet.View
	now      func() time.Time
	onNotice func(target ident.Target, notice fleet.TargetNotice)
	// count is the number of targets, so that a check costs nothing while there are
	// none.
	count atomic.Int64

	mu      sync.Mutex
	targets map[ident.Target]*noticeState
}

// newTargetNotices returns a tracker without notices.
func newTargetNotices(opts *Options) *targetNotices {
	return &targetNotices{view: opts.View, now: opts.Now, onNotice: opts.OnNotice, targets: make(map[ident.Target]*noticeState)}
}

// observe records a notice of a target's incarnation. One of an earlier incarnation
// than the last that stated something is ignored.
func (n *targetNotices) observe(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice) {
	if statesNothing(notice) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state := n.stateFor(target, incarnation)
	if state == nil {
		return
	}
	if notice.Leaving && !state.leaving {
		state.leaving = true
		n.notify(target, fleet.TargetNotice{Leaving: true})
	}
	if notice.Pause > 0 && state.pause(notice.Pause, n.now()) {
		n.notify(target, fleet.TargetNotice{Pause: notice.Pause})
	}
	n.reportMalformed(target, state, notice)
}

// statesNothing reports whether a notice states nothing but, maybe, a limit.
func statesNothing(notice fleet.TargetNotice) bool {
	notice.Limit.Statement, notice.Limit.PerSecond = fleet.LimitUnknown, 0
	return notice == (fleet.TargetNotice{})
}

// reportMalformed reports what could not be read in a notice, once for each incarnation.
// n.mu must be held.
func (n *targetNotices) reportMalformed(target ident.Target, state *noticeState, notice fleet.TargetNotice) {
	if notice.MalformedPause != "" && !state.malformed {
		state.malformed = true
		n.notify(target, fleet.TargetNotice{Pause: notice.Pause, MalformedPause: notice.MalformedPause})
	}
	if limit := notice.Limit; limit.Malformed != "" && !state.malformedLimit {
		state.malformedLimit = true
		n.notify(target, fleet.TargetNotice{Limit: limit})
	}
}

// beginReturn lets requests to a target's incarnation in gradually, after it was absent.
func (n *targetNotices) beginReturn(target ident.Target, incarnation ident.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state := n.stateFor(target, incarnation); state != nil {
		state.beginReturn(n.now())
	}
}

// stateFor returns the state of a target's incarnation, which replaces that of an
// earlier one, or nil if a later incarnation has a state. n.mu must be held.
func (n *targetNotices) stateFor(target ident.Target, incarnation ident.Incarnation) *noticeState {
	state := n.targets[target]
	switch {
	case state != nil && state.incarnation > incarnation:
		return nil
	case state != nil && state.incarnation == incarnation:
		return state
	}
	n.sweep()
	state = &noticeState{incarnation: incarnation}
	n.targets[target] = state
	n.count.Store(int64(len(n.targets)))
	return state
}

// sweep drops the states of targets that left the view at least noticeRetention ago.
// n.mu must be held.
func (n *targetNotices) sweep() {
	snapshot, now := n.view.Snapshot(), n.now()
	for name, state := range n.targets {
		switch {
		case snapshot.Target(name) != nil:
			state.goneAt = time.Time{}
		case state.goneAt.IsZero():
			state.goneAt = now
		case now.Sub(state.goneAt) >= noticeRetention:
			delete(n.targets, name)
		}
	}
}

// notify calls onNotice if it is set.
func (n *targetNotices) notify(target ident.Target, notice fleet.TargetNotice) {
	if n.onNotice != nil {
		n.onNotice(target, notice)
	}
}

// check returns why nothing new may be sent to a target's incarnation, or nil. An
// incarnation before the one that made the statement is an outdated entry of it.
func (n *targetNotices) check(target ident.Target, incarnation ident.Incarnation) error {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lookUp(target, incarnation).check(n.now(), false)
}

// begin makes the check of check, and counts the request if its target returns from a
// pause. If the target works on the request already, its leaving does not matter.
func (n *targetNotices) begin(target ident.Target, incarnation ident.Incarnation, running bool) (Send, error) {
	send := Send{notices: n, target: target, incarnation: incarnation, running: running}
	if n.count.Load() == 0 {
		return send, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state, now := n.lookUp(target, incarnation), n.now()
	if err := state.check(now, running); err != nil {
		return send, err
	}
	if state != nil && state.begin(now) {
		send.counted, send.pauses = state, state.pauses
	}
	return send, nil
}

// lookUp returns the state that binds a target's incarnation, or nil. n.mu must be
// held.
func (n *targetNotices) lookUp(target ident.Target, incarnation ident.Incarnation) *noticeState {
	if state := n.targets[target]; state != nil && state.incarnation >= incarnation {
		return state
	}
	return nil
}
