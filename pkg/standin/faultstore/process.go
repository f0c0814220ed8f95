package faultstore

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Process simulates pauses, kills and partitions of one process in failure tests.
// Every call that leaves the process passes Enter before it takes effect and
// Leave before its response is received; these two points are called boundaries. The
// process can be paused or killed at a boundary, and a partition fails calls
// there. A paused process continues with the call that it was about to make, even
// if the reason for the call no longer holds.
type Process struct {
	mu          sync.Mutex
	pausedUntil time.Time
	killed      bool
	partitioned map[Side]bool
	// passed is the number of boundaries reached so far.
	passed int
	// pauseAt holds the pauses by the boundary at which they begin.
	pauseAt map[int]time.Duration
	// killAt is the boundary at which the process is killed, or -1.
	killAt int
}

// Side names the system that a call goes to.
type Side string

// The systems that a process calls.
const (
	// SideStore is the platform's store.
	SideStore Side = "store"
	// SideTargets stands for all targets.
	SideTargets Side = "targets"
	// SidePlatform stands for the platform's other interfaces.
	SidePlatform Side = "platform"
)

// NewProcess returns a process without faults.
func NewProcess() *Process {
	return &Process{partitioned: make(map[Side]bool), pauseAt: make(map[int]time.Duration), killAt: -1}
}

// Pause pauses the process from now on for d. Calls wait at their next boundary.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// PauseAt pauses the process for d at its n-th boundary, counted from zero.
func (p *Process) PauseAt(n int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseAt[n] = d
}

// KillAt kills the process at its n-th boundary, counted from zero.
func (p *Process) KillAt(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killAt = n
}

// Kill kills the process: its calls fail at their next boundary.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

// SetPartitioned starts or ends a partition between the process and a side.
func (p *Process) SetPartitioned(side Side, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[side] = partitioned
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Paused reports whether the process is paused.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.pausedUntil)
}

// Boundaries returns the number of boundaries reached so far.
func (p *Process) Boundaries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed
}

// Enter passes the boundary before a call takes effect. It fails with kind
// Unavailable if the process is killed or partitioned from side, in which case
// the call must not take effect.
func (p *Process) Enter(side Side) error {
	if !p.pass(side) {
		return external.ErrStoreUnavailable
	}
	return nil
}

// Leave passes the boundary after a call took effect. It fails with kind Unknown
// if the process is killed or partitioned from side, so that the response is
// lost.
func (p *Process) Leave(side Side) error {
	if !p.pass(side) {
		return external.ErrStoreUnknown
	}
	return nil
}

// pass counts a boundary, waits while the process is paused and reports whether
// the process is neither killed nor partitioned from side.
func (p *Process) pass(side Side) bool {
	p.mu.Lock()
	if d, ok := p.pauseAt[p.passed]; ok {
		p.pausedUntil = time.Now().Add(d)
	}
	if p.passed == p.killAt {
		p.killed = true
	}
	p.passed++
	for time.Now().Before(p.pausedUntil) && !p.killed {
		remaining := time.Until(p.pausedUntil)
		p.mu.Unlock()
		time.Sleep(remaining)
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	return !p.killed && !p.partitioned[side]
}
