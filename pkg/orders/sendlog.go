package orders

import (
	"sync"

	"amaranthplank.example/amaranthplank/pkg/lease"
)

// sendLog keeps the states of this process's own sends in memory. A send is
// identified by the write that journaled it.
type sendLog struct {
	mu     sync.Mutex
	states map[lease.Writer]SendState
}

// newSendLog returns an empty log.
func newSendLog() *sendLog { return &sendLog{states: make(map[lease.Writer]SendState)} }

// set records the state of a send.
func (l *sendLog) set(sender lease.Writer, state SendState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[sender] = state
}

// get returns the state of a send, or SendDue if it was not started.
func (l *sendLog) get(sender lease.Writer) SendState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, ok := l.states[sender]; ok {
		return state
	}
	return SendDue
}

// forget removes a send whose outcome is in the journal.
func (l *sendLog) forget(sender lease.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, sender)
}
