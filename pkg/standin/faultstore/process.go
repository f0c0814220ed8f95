package faultstore

import (
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// Process stands for one process in tests of failures. Every call that leaves
// the process passes Enter before it takes effect and Leave before its answer
// is seen; the process can be paused, killed or cut off at either. A paused
// process does what it was about to do when it wakes, whatever it would have
// noticed in between.
type Process struct {
	mu      sync.Mutex
	wakeAt  time.Time
	killed  bool
	cut     map[Side]bool
	passed  int
	pauseAt map[int]time.Duration
	killAt  int
}

// Side is what a call goes to.
type Side string

// The sides.
const (
	// SideStore is the platform's store.
	SideStore Side = "store"
	// SideTargets is the targets themselves.
	SideTargets Side = "targets"
	// SidePlatform is the platform's other interfaces.
	SidePlatform Side = "platform"
)

// NewProcess returns a process without faults.
func NewProcess() *Process {
	return &Process{cut: make(map[Side]bool), pauseAt: make(map[int]time.Duration), killAt: -1}
}

// Pause stops the process for a time, at its next boundary.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeAt = time.Now().Add(d)
}

// PauseAt stops the process for a time at its n-th boundary, counted from zero.
func (p *Process) PauseAt(n int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseAt[n] = d
}

// KillAt kills the process at its n-th boundary.
func (p *Process) KillAt(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killAt = n
}

// Kill ends the process: none of its calls takes effect any more.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

// Cut cuts the process off from a side, or joins them again.
func (p *Process) Cut(side Side, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[side] = cut
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Paused reports whether the process stands still.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.wakeAt)
}

// Boundaries returns how many boundaries the process has passed.
func (p *Process) Boundaries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed
}

// Enter passes the boundary before an effect. It fails with kind Unavailable
// where the call can't take effect.
func (p *Process) Enter(side Side) error {
	if !p.pass(side) {
		return external.ErrStoreUnavailable
	}
	return nil
}

// Leave passes the boundary after an effect. It fails with kind Unknown where
// the answer is lost.
func (p *Process) Leave(side Side) error {
	if !p.pass(side) {
		return external.ErrStoreUnknown
	}
	return nil
}

// pass counts a boundary, waits while the process is paused and reports
// whether the call goes on.
func (p *Process) pass(side Side) bool {
	p.mu.Lock()
	if d, ok := p.pauseAt[p.passed]; ok {
		p.wakeAt = time.Now().Add(d)
	}
	if p.passed == p.killAt {
		p.killed = true
	}
	p.passed++
	for time.Now().Before(p.wakeAt) && !p.killed {
		left := time.Until(p.wakeAt)
		p.mu.Unlock()
		time.Sleep(left)
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	return !p.killed && !p.cut[side]
}
