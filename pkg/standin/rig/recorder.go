package rig

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/usage"
)

// Recorder collects usage records in memory.
type Recorder struct {
	mu      sync.Mutex
	records []usage.Record
}

var _ usage.Recorder = (*Recorder)(nil)

// Record appends one record.
func (r *Recorder) Record(record usage.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

// Records returns a copy of the records so far.
func (r *Recorder) Records() []usage.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]usage.Record(nil), r.records...)
}
