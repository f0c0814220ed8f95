package burn

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// slotLength is the time resolution of the counts.
	slotLength = 5 * time.Minute
	// pageLength is the time span of one page, the unit of storage.
	pageLength = time.Hour
)

// Subject is the workspace and route for which objectives are reported.
type Subject struct {
	Workspace ident.Workspace
	Route     ident.Route
}

// Slots holds counts by the start of their slot, in Unix seconds, and subject.
type Slots map[int64]map[Subject]*Counts

// add adds counts to the slot of the given time.
func (s Slots) add(at time.Time, subject Subject, counts *Counts) {
	start := at.Truncate(slotLength).Unix()
	if s[start] == nil {
		s[start] = make(map[Subject]*Counts)
	}
	if s[start][subject] == nil {
		s[start][subject] = new(Counts)
	}
	s[start][subject].merge(counts)
}

// Merge adds the counts of the other slots.
func (s Slots) Merge(other Slots) {
	for start, subjects := range other {
		for subject, counts := range subjects {
			s.add(time.Unix(start, 0), subject, counts)
		}
	}
}

// sumSince sums the counts of the slots that began within the window before now,
// including the current, incomplete slot.
func (s Slots) sumSince(now time.Time, window time.Duration) map[Subject]*Counts {
	sums := make(map[Subject]*Counts)
	from := now.Add(-window).Truncate(slotLength).Unix()
	for start, subjects := range s {
		if start <= from && window > 0 {
			continue
		}
		for subject, counts := range subjects {
			if sums[subject] == nil {
				sums[subject] = new(Counts)
			}
			sums[subject].merge(counts)
		}
	}
	return sums
}

// pageSlots returns the slots of the page that starts at the given time.
func (s Slots) pageSlots(start time.Time) Slots {
	page := make(Slots)
	for at, subjects := range s {
		if time.Unix(at, 0).Truncate(pageLength).Equal(start) {
			page[at] = subjects
		}
	}
	return page
}
