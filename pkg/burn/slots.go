package burn

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// slotLength is the finest time that counts are kept by.
	slotLength = 5 * time.Minute
	// pageLength is the time that one checkpoint covers.
	pageLength = time.Hour
)

// Subject is what objectives are reported by.
type Subject struct {
	Workspace ident.Workspace
	Route     ident.Route
}

// Slots holds counts by the start of their slot, in Unix seconds.
type Slots map[int64]map[Subject]*Counts

// add counts one event's counts.
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

// Merge adds other slots.
func (s Slots) Merge(other Slots) {
	for start, subjects := range other {
		for subject, counts := range subjects {
			s.add(time.Unix(start, 0), subject, counts)
		}
	}
}

// over sums the slots that began within the window before now. A window always
// holds the present slot, which is not yet full.
func (s Slots) over(now time.Time, window time.Duration) map[Subject]*Counts {
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

// page returns the slots of the page that starts at the given time.
func (s Slots) page(start time.Time) Slots {
	page := make(Slots)
	for at, subjects := range s {
		if time.Unix(at, 0).Truncate(pageLength).Equal(start) {
			page[at] = subjects
		}
	}
	return page
}
