package admission

import (
	"context"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// pollInterval is how often each waiting request triggers a dispatch, since the
// load of the targets changes without a call to the queue.
const pollInterval = 5 * time.Millisecond

// minDispatchInterval is the minimum time between dispatches that waiting requests
// trigger, regardless of how many requests wait.
const minDispatchInterval = time.Millisecond

// FairController is a Controller that is backed by a Queue. It has no goroutine of its
// own: each waiting call of Admit periodically dispatches for all waiting requests.
type FairController struct {
	mu    sync.Mutex
	queue *Queue
	// lastDispatch is the time of the last dispatch.
	lastDispatch time.Time
}

var _ Controller = (*FairController)(nil)

// NewFairController returns a controller with an empty queue.
func NewFairController(opts Options) *FairController { return &FairController{queue: NewQueue(opts)} }

// Admit waits until the request may run. It fails with kind Limited if the request
// is refused, and with kind Timeout if ctx ends first.
func (f *FairController) Admit(ctx context.Context, req *request.Request) (Ticket, error) {
	e, err := f.offer(req)
	if err != nil {
		return nil, err
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-e.ready:
			if e.Err != nil {
				return nil, e.Err
			}
			return &fairTicket{fair: f, entry: e}, nil
		case <-ctx.Done():
			return nil, f.cancel(e, context.Cause(ctx))
		case <-poll.C:
			f.dispatch()
		}
	}
}

// offer adds a request to the queue and dispatches.
func (f *FairController) offer(req *request.Request) (*Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.queue.Offer(req)
	if err != nil {
		return nil, err
	}
	e.ready = make(chan struct{})
	f.dispatchLocked()
	return e, nil
}

// cancel removes a request whose context ended. If the request was admitted in the
// meantime, it is released without usage.
func (f *FairController) cancel(e *Entry, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Cancel(e)
	f.queue.Release(e, request.TokenUsage{})
	return fault.Wrap(cause, fault.Timeout, "the request was canceled before it was admitted", "send the request again with a later deadline")
}

// release ends an admitted request and dispatches.
func (f *FairController) release(e *Entry, usage request.TokenUsage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue.Release(e, usage)
	f.dispatchLocked()
}

// dispatch admits and refuses requests, unless the last dispatch was less than
// minDispatchInterval ago.
func (f *FairController) dispatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastDispatch) >= minDispatchInterval {
		f.dispatchLocked()
	}
}

// dispatchLocked admits and refuses requests. The caller must hold f.mu.
func (f *FairController) dispatchLocked() {
	f.lastDispatch = time.Now()
	run, refused := f.queue.Dispatch()
	for _, e := range run {
		close(e.ready)
	}
	for _, e := range refused {
		close(e.ready)
	}
}

// fairTicket is the Ticket of a FairController.
type fairTicket struct {
	fair  *FairController
	entry *Entry
}

// Release ends the request and charges its actual usage.
func (t *fairTicket) Release(usage request.TokenUsage) { t.fair.release(t.entry, usage) }
