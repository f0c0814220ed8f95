// Package hosts is a stand-in for the platform's list of hosts.
package hosts

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/platform"
)

// List gives the hosts that its owner sets, after a lag.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	records []platform.HostRecord
	next    []platform.HostRecord
	// nextAt is when next takes the place of records.
	nextAt time.Time
}

var _ platform.HostList = (*List)(nil)

// New returns a list that shows changes after the lag.
func New(lag time.Duration, records ...platform.HostRecord) *List {
	return &List{lag: lag, records: records, next: records}
}

// Set replaces the hosts; readers see it after the lag.
func (l *List) Set(records []platform.HostRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.next = slices.Clone(records)
	l.nextAt = time.Now().Add(l.lag)
}

// Hosts returns the hosts as of the lag ago.
func (l *List) Hosts(context.Context) ([]platform.HostRecord, error) {
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
