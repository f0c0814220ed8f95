package engine

import (
	"context"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// stream is one running or finished generation. Any number of connections may
// read it.
type stream struct {
	cancel context.CancelFunc
	body   *completionBody

	mu     sync.Mutex
	events []string
	done   bool
	// changed is closed and replaced when an event is added or the stream is
	// finished.
	changed chan struct{}
}

// newStream returns an empty stream.
func newStream(cancel context.CancelFunc, body *completionBody) *stream {
	return &stream{cancel: cancel, body: body, changed: make(chan struct{})}
}

// count returns the number of events so far.
func (s *stream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// add appends an event's data.
func (s *stream) add(data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish marks the stream as done, whether complete or canceled.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// complete reports whether the last event is the end marker.
func (s *stream) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) > 0 && s.events[len(s.events)-1] == target.EndMarker
}

// after returns the events after the first n, whether the stream is done, and
// a channel that is closed at the next event or when the stream is finished.
func (s *stream) after(n int) ([]string, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > len(s.events) {
		n = len(s.events)
	}
	return s.events[n:], s.done, s.changed
}
