package engine

import (
	"context"
	"sync"
)

// stream is one running or finished generation, which any number of
// connections may read.
type stream struct {
	cancel context.CancelFunc

	mu     sync.Mutex
	events []string
	done   bool
	// grown is closed and replaced when an event is added.
	grown chan struct{}
}

// newStream returns an empty stream.
func newStream(cancel context.CancelFunc) *stream {
	return &stream{cancel: cancel, grown: make(chan struct{})}
}

// add appends an event's data; last ends the stream.
func (s *stream) add(data string, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.done = last
	close(s.grown)
	s.grown = make(chan struct{})
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
