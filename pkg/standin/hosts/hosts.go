// Package hosts simulates the platform's list of hosts.
package hosts

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// List is a host list whose changes become visible after a lag.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	records []external.HostRecord
	pending []external.HostRecord
	// pendingAt is the time at which pending replaces records.
	pendingAt time.Time
}

var _ external.HostList = (*List)(nil)

// New returns a list with the given hosts and lag.
func New(lag time.Duration, records ...external.HostRecord) *List {
	return &List{lag: lag, records: records, pending: records}
}

// Set replaces the hosts. The change becomes visible after the lag; a change that is
// still pending is replaced and never becomes visible.
func (l *List) Set(records []external.HostRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending()
	l.pending = slices.Clone(records)
	l.pendingAt = time.Now().Add(l.lag)
}

// Hosts returns the hosts that are visible now.
func (l *List) Hosts(context.Context) ([]external.HostRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending()
	return slices.Clone(l.records), nil
}

// applyPending applies the pending change if its lag has elapsed.
func (l *List) applyPending() {
	if !time.Now().Before(l.pendingAt) {
		l.records = l.pending
	}
}
