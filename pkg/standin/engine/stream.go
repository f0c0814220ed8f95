package engine

import (
	"context"
	"sync"

	"amaranthplank.example/amaranthplank/pkg/target"
)

// stream is one running or finished generation, which any number of
// connections may read.
type stream struct {
	cancel context.CancelFunc
	body   *completionBody

	mu     sync.Mutex
	events []string
	done   bool
	// grown is closed and replaced when an event is added.
	grown chan struct{}
}

// newStream returns an empty stream.
func newStream(cancel context.CancelFunc, body *completionBody) *stream {
	return &stream{cancel: cancel, body: body, grown: make(chan struct{})}
}

// count returns how many events there are.
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
	close(s.grown)
	s.grown = make(chan struct{})
}

// finish ends the stream, whole or cancelled.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	close(s.grown)
	s.grown = make(chan struct{})
}

// whole reports whether the stream has come to its end marker.
func (s *stream) whole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events) > 0 && s.events[len(s.events)-1] == target.EndMarker
}

// after returns the events after the first n, whether the stream is done, and
// a channel that the next event closes.
func (s *stream) after(n int) ([]string, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > len(s.events) {
		n = len(s.events)
	}
	return s.events[n:], s.done, s.grown
}
