package waitlist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// turnInterval is the mean time between two turns of a list. It is below the time of
	// a short answer, so that a slot that becomes free is not left idle for long.
	turnInterval = 25 * time.Millisecond
	// maxMisses is the number of entries for one software version that find no room in one
	// turn before no other for it is tried. It is above one so that a long prompt does not
	// keep short ones waiting.
	maxMisses = 3
)

// Outcome is how a wait ended.
type Outcome string

// The outcomes of waits.
const (
	// Placed means that there was room, or that another error than NoRoom ended the wait.
	Placed Outcome = "placed"
	// Expired means that the time to wait is over.
	Expired Outcome = "expired"
	// Left means that the caller left.
	Left Outcome = "left"
	// Displaced means that the list was full of requests that go before this one.
	Displaced Outcome = "displaced"
)

// Options configure a Waiter.
type Options struct {
	// Bounds limit each model's list.
	Bounds Bounds
	// NoRoom reports whether an error of a try means that there is no room yet.
	NoRoom func(err error) bool
	// OnEnd is called at the end of each wait. It must not block, and may be nil.
	OnEnd func(outcome Outcome, waited time.Duration)
}

// Waiter lets requests wait for room. It does nothing while none waits.
type Waiter struct {
	opts Options

	mu    sync.Mutex
	lists map[ident.Model]*turnList
}

// turnList is a list with its turns.
type turnList struct {
	*List
	// scheduled is set while the next turn is scheduled.
	scheduled bool
}

// New returns a Waiter for which nothing waits.
func New(opts Options) *Waiter {
	return &Waiter{opts: opts, lists: make(map[ident.Model]*turnList)}
}

// Wait calls try at this request's turns, from another goroutine, until it returns nil or
// an error for which NoRoom is false, and returns that. At the time until, when ctx ends,
// or if the list is full, it returns noRoom or the error of the last try. After it returned,
// try is not called.
func (w *Waiter) Wait(ctx context.Context, model ident.Model, e Entry, until time.Time, noRoom error, try func() error) error {
	began := time.Now()
	e.try, e.done, e.err = try, make(chan struct{}), noRoom
	if !w.add(model, &e) {
		w.end(Displaced, began)
		return e.err
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	outcome := Placed
	select {
	case <-e.done:
	case <-timer.C:
		outcome = Expired
	case <-ctx.Done():
		outcome = Left
	}
	return w.leave(model, &e, outcome, began)
}

// leave removes an entry that has not ended by itself, and returns its error.
func (w *Waiter) leave(model ident.Model, e *Entry, outcome Outcome, began time.Time) error {
	w.mu.Lock()
	switch {
	case !e.settled:
		w.lists[model].Remove(e)
	case e.err != nil && w.opts.NoRoom(e.err):
		outcome = Displaced
	default:
		outcome = Placed
	}
	err := e.err
	w.mu.Unlock()
	w.end(outcome, began)
	return err
}

// end reports the end of a wait.
func (w *Waiter) end(outcome Outcome, began time.Time) {
	if w.opts.OnEnd != nil {
		w.opts.OnEnd(outcome, time.Since(began))
	}
}

// add adds an entry to its list, and begins the list's turns if there are none. It reports
// false if the list has no place for it.
func (w *Waiter) add(model ident.Model, e *Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	list, ok := w.lists[model]
	if !ok {
		list = &turnList{List: NewList(w.opts.Bounds)}
		w.lists[model] = list
	}
	for _, last := range list.Add(e, time.Now()) {
		last.settled = true
		close(last.done)
	}
	w.scheduleTurn(list)
	return !e.settled
}

// scheduleTurn begins a turn after about turnInterval, if requests wait and no turn is
// scheduled yet. Turns of the daemons of a fleet are jittered, so that they don't all try for
// the same room. w.mu must be held.
func (w *Waiter) scheduleTurn(list *turnList) {
	if list.scheduled || list.Len() == 0 {
		return
	}
	list.scheduled = true
	time.AfterFunc(turnInterval/2+rand.N(turnInterval), func() { w.turn(list) })
}

// turn lets the entries try in their order. Those that need the same software version are
// passed over once maxMisses of them found no room; they keep no others waiting.
func (w *Waiter) turn(list *turnList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list.scheduled = false
	misses := make(map[ident.SoftwareVersion]int)
	for _, e := range list.Order(time.Now()) {
		if misses[e.Version] >= maxMisses {
			continue
		}
		if e.err = e.try(); e.err != nil && w.opts.NoRoom(e.err) {
			misses[e.Version]++
			continue
		}
		list.Grant(e, time.Now())
		e.settled = true
		close(e.done)
	}
	w.scheduleTurn(list)
}
