package routing

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// RoundRobin sends requests to the targets in turn. It is a baseline for
// comparison.
type RoundRobin struct {
	view fleet.View

	mu   sync.Mutex
	next int
}

var _ Router = (*RoundRobin)(nil)

// NewRoundRobin returns a router over a view. The router starts after the given
// position.
func NewRoundRobin(view fleet.View, start int) *RoundRobin {
	return &RoundRobin{view: view, next: start}
}

// Choose returns the next target that takes new work.
func (r *RoundRobin) Choose(req *request.Request, constraints *Constraints) (*fleet.TargetState, error) {
	snapshot := r.view.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := candidates(snapshot, req)
	for range targets {
		r.next++
		state := &snapshot.Targets[targets[r.next%len(targets)]]
		if !state.Draining && !state.Record.Leaving && constraints.allow(state) {
			return state, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "no target accepts new requests",
		"send the request again after the time in Retry-After").WithRetryAfter(retryAfter)
}

// Done does nothing.
func (r *RoundRobin) Done(*request.Request, ident.Target) {}
