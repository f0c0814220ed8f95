package routing

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// LeastOutstanding sends each request to the target with the fewest outstanding
// requests of this daemon. It is a baseline for comparison.
type LeastOutstanding struct {
	view fleet.View

	mu          sync.Mutex
	outstanding map[ident.Target]int
}

var _ Router = (*LeastOutstanding)(nil)

// NewLeastOutstanding returns a router over a view.
func NewLeastOutstanding(view fleet.View) *LeastOutstanding {
	return &LeastOutstanding{view: view, outstanding: make(map[ident.Target]int)}
}

// Choose returns the least loaded target and counts the request against it.
func (l *LeastOutstanding) Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	snapshot := l.view.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *fleet.TargetState
	for _, i := range candidates(snapshot, req) {
		state := &snapshot.Targets[i]
		if state.Draining || state.Record.Leaving || !constraints.allow(state) {
			continue
		}
		if best == nil || l.outstanding[state.Record.Target] < l.outstanding[best.Record.Target] {
			best = state
		}
	}
	if best == nil {
		return nil, fault.New(fault.Unavailable, "no target accepts new requests", "send the request again after the time in Retry-After")
	}
	l.outstanding[best.Record.Target]++
	return best, nil
}

// Done removes a request from the target's count.
func (l *LeastOutstanding) Done(_ *request.Request, target ident.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding[target]--
}

// candidates returns the indexes of the targets that serve the request.
func candidates(snapshot *fleet.Snapshot, req *request.Request) []int {
	if req.Service != "" {
		return snapshot.Service(req.Service)
	}
	return snapshot.Model(req.Model)
}
