package usagesink

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Sink stores the first report of each shard and window, and the highest fencing
// token of each shard.
type Sink struct {
	mu      sync.Mutex
	reports []external.UsageReport
	fencing map[ident.Duty]ident.FencingToken
}

var _ external.UsageSink = (*Sink)(nil)

// New returns an empty sink.
func New() *Sink { return &Sink{fencing: make(map[ident.Duty]ident.FencingToken)} }

// Report accepts one report. It fails with kind Fenced if a higher fencing token
// was seen for the shard, and with kind Conflict if the window was reported with
// different figures. A repeat with the same figures is accepted.
func (s *Sink) Report(_ context.Context, report external.UsageReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Fencing < s.fencing[report.Shard] {
		return fault.New(fault.Fenced, "the shard has a report with a higher fencing token", "another host holds the duty; no action is needed unless this repeats")
	}
	s.fencing[report.Shard] = report.Fencing
	earlier := s.find(report.Shard, report.Window)
	if earlier == nil {
		s.reports = append(s.reports, report)
		return nil
	}
	if !reflect.DeepEqual(earlier.Lines, report.Lines) {
		return fault.New(fault.Conflict, "the window was reported with other figures", "report later figures in a later window")
	}
	return nil
}

// Reports returns the reports accepted so far.
func (s *Sink) Reports() []external.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reports)
}

// find returns the report of one shard and window, or nil.
func (s *Sink) find(shard ident.Duty, window time.Time) *external.UsageReport {
	for i := range s.reports {
		if s.reports[i].Shard == shard && s.reports[i].Window.Equal(window) {
			return &s.reports[i]
		}
	}
	return nil
}
