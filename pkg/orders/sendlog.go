package orders

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/lease"
)

// sendLog remembers, for the process's life, what became of its own sendings.
// A sending is named by the write that journalled it.
type sendLog struct {
	mu     sync.Mutex
	states map[lease.Writer]SendState
}

// newSendLog returns an empty log.
func newSendLog() *sendLog { return &sendLog{states: make(map[lease.Writer]SendState)} }

// set notes what became of a sending.
func (l *sendLog) set(sender lease.Writer, state SendState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[sender] = state
}

// get returns what is known of a sending, or SendDue where it was not begun.
func (l *sendLog) get(sender lease.Writer) SendState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, ok := l.states[sender]; ok {
		return state
	}
	return SendDue
}

// forget drops a sending whose outcome is in the journal.
func (l *sendLog) forget(sender lease.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, sender)
}
