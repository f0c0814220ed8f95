package shift

import (
	"container/heap"
	"time"
)

// epoch is the fake time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// simulator runs events in order of their fake time.
type simulator struct {
	now    time.Duration
	next   uint64
	events eventHeap
}

// event is one thing to do.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// at plans something; what is planned for the past happens now.
func (s *simulator) at(t time.Duration, do func()) {
	s.next++
	heap.Push(&s.events, event{at: max(t, s.now), order: s.next, do: do})
}

// after plans something for later.
func (s *simulator) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// every does something again and again until the given time.
func (s *simulator) every(start, period, until time.Duration, do func()) {
	if start > until {
		return
	}
	s.at(start, func() {
		do()
		s.every(start+period, period, until, do)
	})
}

// run does events until none is left.
func (s *simulator) run() {
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// wall returns the fake time of day.
func (s *simulator) wall() time.Time { return epoch.Add(s.now) }

// eventHeap orders events by time, then by when they were planned.
type eventHeap []event

// Len returns the count of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders two events.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop takes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
