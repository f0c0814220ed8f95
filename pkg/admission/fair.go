package admission

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// pollEvery is the time between a waiting request's looks at the gate. The
// targets' load changes without a call to the queue.
const pollEvery = 5 * time.Millisecond

// pumpPause is the least time between two looks on behalf of waiting requests,
// however many wait.
const pumpPause = time.Millisecond

// Fair is the Controller over a Queue. Callers' goroutines do its work: each
// that waits looks at the gate now and then for all.
type Fair struct {
	mu    sync.Mutex
	queue *Queue
	// pumpedAt is when the queue was last pumped.
	pumpedAt time.Time
}

var _ Controller = (*Fair)(nil)

// NewFair returns a controller over an empty queue.
func NewFair(opts Options) *Fair { return &Fair{queue: NewQueue(opts)} }

// Admit waits until the request may run. It fails with kind Limited where the
// request is refused, and with kind Timeout where ctx ends first.
func (f *Fair) Admit(ctx context.Context, req *request.Request) (Ticket, error) {
	e, err := f.offer(req)
	if err != nil {
		return nil, err
	}
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for {
		select {
		case <-e.ready:
			if e.Err != nil {
				return nil, e.Err
			}
			return &fairTicket{fair: f, entry: e}, nil
		case <-ctx.Done():
			return nil, f.leave(e, context.Cause(ctx))
		case <-poll.C:
			f.pump()
		}
	}
}

// offer takes a request in.
func (f *Fair) offer(req *request.Request) (*Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.queue.Offer(req)
	if err != nil {
		return nil, err
	}
	e.ready = make(chan struct{})
	f.pumpLocked()
	return e, nil
}

// leave takes out a request whose caller left. One that was admitted at the
// same moment is released unrun.
func (f *Fair) leave(e *Entry, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Cancel(e)
	f.queue.Release(e, request.TokenUsage{})
	return fault.Wrap(cause, fault.Timeout, "the caller left before the request could run", "try again with a later deadline")
}

// release gives a ticket back.
func (f *Fair) release(e *Entry, figures request.TokenUsage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Release(e, figures)
	f.pumpLocked()
}

// pump lets requests through.
func (f *Fair) pump() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.pumpedAt) >= pumpPause {
		f.pumpLocked()
	}
}

// pumpLocked lets requests through; f.mu is held.
func (f *Fair) pumpLocked() {
	f.pumpedAt = time.Now()
	run, refused := f.queue.Pump()
	for _, e := range run {
		close(e.ready)
	}
	for _, e := range refused {
		close(e.ready)
	}
}

// fairTicket is the leave to run a request of a Fair.
type fairTicket struct {
	fair  *Fair
	entry *Entry
}

// Release gives the leave back.
func (t *fairTicket) Release(figures request.TokenUsage) { t.fair.release(t.entry, figures) }
