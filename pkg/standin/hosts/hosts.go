// Package hosts is a stand-in for the platform's list of hosts.
package hosts

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// List gives the hosts that its owner sets, after a lag.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	records []external.HostRecord
	next    []external.HostRecord
	// nextAt is when next takes the place of records.
	nextAt time.Time
}

var _ external.HostList = (*List)(nil)

// New returns a list that shows changes after the lag.
func New(lag time.Duration, records ...external.HostRecord) *List {
	return &List{lag: lag, records: records, next: records}
}

// Set replaces the hosts; readers see it after the lag.
func (l *List) Set(records []external.HostRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.next = slices.Clone(records)
	l.nextAt = time.Now().Add(l.lag)
}

// Hosts returns the hosts as of the lag ago.
func (l *List) Hosts(context.Context) ([]external.HostRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	return slices.Clone(l.records), nil
}

// settle puts a change into force whose lag is over.
func (l *List) settle() {
	if !time.Now().Before(l.nextAt) {
		l.records = l.next
	}
}
