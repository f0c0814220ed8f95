package waitlist

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// errFull means that there is no room yet.
var errFull = errors.New("no room")

// waitRig is a Waiter and how its waits ended.
type waitRig struct {
	*Waiter
	mu       sync.Mutex
	outcomes map[Outcome]int
	tries    int
}

// newWaitRig returns a rig whose lists have the given bounds.
func newWaitRig(bounds Bounds) *waitRig {
	r := &waitRig{outcomes: make(map[Outcome]int)}
	r.Waiter = New(Options{
		Bounds: bounds, NoRoom: func(err error) bool { return errors.Is(err, errFull) },
		OnEnd: func(outcome Outcome, _ time.Duration) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.outcomes[outcome]++
		},
	})
	return r
}

// wait waits for at most a second for room that is there once the time has come.
func (r *waitRig) wait(ctx context.Context, e Entry, room time.Time) error {
	return r.Wait(ctx, "m", e, time.Now().Add(time.Second), errFull, func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tries++
		if time.Now().Before(room) {
			return errFull
		}
		return nil
	})
}

// TestRequestGetsRoomOnceThereIsSome guards against a refusal of a request for which there
// is room soon enough, and against a request that still waits then.
func TestRequestGetsRoomOnceThereIsSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, began := newWaitRig(wide), time.Now()
		must.NoError(t, r.wait(t.Context(), Entry{}, began.Add(300*time.Millisecond)))
		must.Between(t, 300*time.Millisecond, time.Since(began), 300*time.Millisecond+2*turnInterval)
		must.Eq(t, map[Outcome]int{Placed: 1}, r.outcomes)
	})
}

// TestWaitEndsWithItsTime guards against a request that is held beyond the time that it may
// wait, and against one that is tried after its wait has ended.
func TestWaitEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, began := newWaitRig(wide), time.Now()
		must.ErrorIs(t, r.wait(t.Context(), Entry{}, began.Add(time.Hour)), errFull)
		must.Eq(t, time.Second, time.Since(began))
		tries := r.tries
		time.Sleep(time.Minute)
		must.Eq(t, tries, r.tries)
		must.Eq(t, map[Outcome]int{Expired: 1}, r.outcomes)
	})
}

// TestRequestOfCallerThatLeftIsDropped guards against a request that is sent, or keeps a
// place in the list, after its caller has left.
func TestRequestOfCallerThatLeftIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, began := newWaitRig(Bounds{Entries: 1, Bytes: 100}), time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		must.ErrorIs(t, r.wait(ctx, Entry{Bytes: 100}, began.Add(200*time.Millisecond)), errFull)
		must.Eq(t, 100*time.Millisecond, time.Since(began))
		must.NoError(t, r.wait(t.Context(), Entry{Bytes: 100}, began.Add(200*time.Millisecond)))
		must.Eq(t, map[Outcome]int{Left: 1, Placed: 1}, r.outcomes)
	})
}

// TestOneTurnAtATime guards against a list that gets a further series of turns each time
// that its only request has left and another one comes: with ten of them each request would
// try for room ten times as often.
func TestOneTurnAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, never := newWaitRig(wide), time.Now().Add(time.Hour)
		for range 10 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			must.ErrorIs(t, r.wait(ctx, Entry{}, never), errFull)
			cancel()
		}
		must.ErrorIs(t, r.wait(t.Context(), Entry{}, never), errFull)
		must.LessEq(t, int(2*time.Second/turnInterval), r.tries)
	})
}

// TestFullListRefusesImmediately guards against a request that waits though others fill the
// list, and against a less urgent one that keeps its place then.
func TestFullListRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, began := newWaitRig(Bounds{Entries: 1, Bytes: 1 << 20}), time.Now()
		var group sync.WaitGroup
		group.Go(func() {
			must.ErrorIs(t, r.wait(t.Context(), Entry{Urgency: 2}, began.Add(500*time.Millisecond)), errFull)
			must.Eq(t, 100*time.Millisecond, time.Since(began))
		})
		time.Sleep(100 * time.Millisecond)
		group.Go(func() { must.NoError(t, r.wait(t.Context(), Entry{Urgency: 1}, began.Add(500*time.Millisecond))) })
		synctest.Wait()
		must.ErrorIs(t, r.wait(t.Context(), Entry{Urgency: 1}, began), errFull)
		must.Eq(t, 100*time.Millisecond, time.Since(began))
		group.Wait()
		must.Eq(t, map[Outcome]int{Displaced: 2, Placed: 1}, r.outcomes)
	})
}

// TestRequestsOfAFullVersionHoldUpNoOthers guards against requests for which there is room and
// that wait nevertheless, since requests before them need targets of a software version that
// are all full.
func TestRequestsOfAFullVersionHoldUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, began := newWaitRig(wide), time.Now()
		var group sync.WaitGroup
		for range 10 * maxMisses {
			group.Go(func() {
				must.ErrorIs(t, r.wait(t.Context(), Entry{Version: "v1"}, began.Add(time.Hour)), errFull)
			})
		}
		synctest.Wait()
		must.NoError(t, r.wait(t.Context(), Entry{Urgency: 1}, began))
		must.LessEq(t, 2*turnInterval, time.Since(began))
		group.Wait()
	})
}
