package shift

import (
	"container/heap"
	"time"
)

// epoch is the simulated time of day at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// simulator is a discrete-event simulator: it runs events in order of their
// simulated time.
type simulator struct {
	now          time.Duration
	lastSequence uint64
	events       eventHeap
}

// event is an action at a simulated time. Events of the same time run in order
// of their sequence.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// at schedules an action; one for a past time runs at the present time.
func (s *simulator) at(t time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: max(t, s.now), sequence: s.lastSequence, action: action})
}

// after schedules an action after a delay.
func (s *simulator) after(d time.Duration, action func()) { s.at(s.now+d, action) }

// every schedules an action periodically from start to until, both included.
func (s *simulator) every(start, period, until time.Duration, action func()) {
	if start > until {
		return
	}
	s.at(start, func() {
		action()
		s.every(start+period, period, until, action)
	})
}

// run processes events until none is left.
func (s *simulator) run() {
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
}

// wall returns the simulated time of day.
func (s *simulator) wall() time.Time { return epoch.Add(s.now) }

// eventHeap orders events by time, then by the order in which they were
// scheduled.
type eventHeap []event

// Len returns the count of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i comes before event j.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
