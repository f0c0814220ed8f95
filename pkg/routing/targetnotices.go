package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// noticeRetention is how long a notice is kept after its target has left the view. An
// entry that the store lost or kept too long may come back within that time.
const noticeRetention = 10 * time.Minute

// ErrLeaving withholds work from a target that stated that it leaves.
var ErrLeaving = fault.New(fault.Unavailable, "the target stated that it is leaving", "no action is needed: another target is chosen")

// targetNotices holds what targets stated about themselves in their answers to this
// daemon, by target and incarnation. A notice holds whatever the view says of the
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

// noticeState is what one incarnation of a target stated.
type noticeState struct {
	incarnation ident.Incarnation
	leaving     bool
	// goneAt is when the target was first found missing from the view, or zero.
	goneAt time.Time
}

// newTargetNotices returns a tracker without notices.
func newTargetNotices(opts *Options) *targetNotices {
	return &targetNotices{view: opts.View, now: opts.Now, onNotice: opts.OnNotice, targets: make(map[ident.Target]*noticeState)}
}

// observe records a notice of a target's incarnation. One of an earlier incarnation
// than the last that stated something is ignored.
func (n *targetNotices) observe(target ident.Target, incarnation ident.Incarnation, notice fleet.TargetNotice) {
	if notice == (fleet.TargetNotice{}) {
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
	state := n.targets[target]
	if state != nil && state.incarnation >= incarnation && state.leaving {
		return ErrLeaving
	}
	return nil
}
