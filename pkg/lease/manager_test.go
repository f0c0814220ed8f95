package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// event is one fault and the time before it.
type event struct {
	before time.Duration
	node   int
	kind   int
	length time.Duration
	on     bool
	count  int
}

// drawEvent draws one event for a world of so many nodes.
func drawEvent(nodes int) *rapid.Generator[event] {
	return rapid.Custom(func(t *rapid.T) event {
		return event{
			before: time.Duration(rapid.IntRange(0, 8).Draw(t, "before")) * time.Second,
			node:   rapid.IntRange(0, nodes-1).Draw(t, "node"),
			kind:   rapid.IntRange(0, 7).Draw(t, "kind"),
			length: time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second,
			on:     rapid.Bool().Draw(t, "on"),
			count:  rapid.IntRange(1, 3).Draw(t, "count"),
		}
	})
}

// apply brings an event about.
func (w *world) apply(e event) {
	n := w.nodes[e.node]
	switch e.kind {
	case 0:
		n.process.Pause(e.length)
	case 1:
		n.process.Cut(faultstore.SideStore, e.on)
	case 2:
		w.store.Set(faultstore.Faults{Down: e.on})
	case 3:
		var calls atomic.Int64
		w.store.Set(faultstore.Faults{LoseAnswer: func(external.Key) bool { return calls.Add(1)%int64(e.count) == 0 }})
	case 4:
		w.store.Set(faultstore.Faults{Delay: e.length / 5})
	case 5:
		w.store.Set(faultstore.Faults{})
	case 6:
		w.split.Store(e.on)
	default:
		n.process.PauseAt(n.process.Boundaries()+e.count, e.length)
	}
}

func TestAtMostOneHolderThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.991, 1.009), 4, 4).Draw(rt, "clock rates")
		events := rapid.SliceOfN(drawEvent(len(rates)), 1, 6).Draw(rt, "events")
		var violation error
		var believers []int
		synctest.Test(t, func(*testing.T) {
			w := newWorld(newStore(), len(rates), 2, lease.DefaultTerms(), func(i int) float64 { return rates[i] })
			w.start()
			for _, e := range events {
				w.advance(e.before)
				w.apply(e)
			}
			w.advance(15 * time.Second)
			w.heal()
			w.advance(60 * time.Second)
			for _, d := range w.duties {
				believers = append(believers, w.believers(d))
			}
			w.stop()
			violation = w.violation()
		})
		must.NoError(rt, violation)
		must.Eq(rt, []int{1, 1}, believers)
	})
}

// heal ends all faults.
func (w *world) heal() {
	w.store.Set(faultstore.Faults{})
	w.split.Store(false)
	for _, n := range w.nodes {
		n.process.Cut(faultstore.SideStore, false)
	}
}

// resettingStore forgets the versions of deleted keys, which the platform's
// store must not do.
type resettingStore struct {
	external.Store
	base map[external.Key]external.Version
}

// Get returns a key with its version counted anew.
func (s *resettingStore) Get(ctx context.Context, key external.Key) (external.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	if err != nil {
		return entry, err
	}
	entry.Version -= s.base[key]
	return entry, nil
}

// CompareAndSwap counts a created key's version from one.
func (s *resettingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if err == nil && swap.Base == external.NoVersion {
		s.base[swap.Key] = version - 1
	}
	return version - s.base[swap.Key], err
}

// TestChecksCatchBrokenMechanisms breaks one mechanism at a time.
func TestChecksCatchBrokenMechanisms(t *testing.T) {
	t.Run("no margin for the clock's rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			terms := lease.DefaultTerms()
			terms.ClockRate, terms.MarginFixed = -0.5, 0
			w := newWorld(newStore(), 4, 1, terms, evenRate)
			w.start()
			w.advance(10 * time.Second)
			w.holder().process.Cut(faultstore.SideStore, true)
			w.advance(20 * time.Second)
			w.stop()
			must.ErrorContains(t, w.violation(), "believers")
		})
	})
	t.Run("versions that start anew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &resettingStore{Store: newStore(), base: make(map[external.Key]external.Version)}
			w := newWorld(store, 4, 1, lease.DefaultTerms(), evenRate)
			w.start()
			w.advance(10 * time.Second)
			w.holder().process.Kill()
			w.advance(25 * time.Second)
			w.stop()
			must.ErrorContains(t, w.violation(), "fencing")
		})
	})
}

// holder returns the node that believes to hold the first duty, or nil.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		n.mu.Lock()
		authority := n.grants[w.duties[0]]
		n.mu.Unlock()
		if authority != nil && authority.Check() == nil {
			return n
		}
	}
	return nil
}

// held returns four processes of which one holds their duty, and that one.
func held(terms lease.Terms) (w *world, first *node) {
	w = newWorld(newStore(), 4, 1, terms, evenRate)
	w.start()
	w.advance(10 * time.Second)
	return w, w.holder()
}

// afterKill kills the first holder, ends the world a while later and returns who
// held the duty, of whom there must be two.
func (w *world) afterKill(t *testing.T, first *node) []acquisition {
	t.Helper()
	first.process.Kill()
	w.advance(10 * time.Second)
	w.stop()
	list := w.acquired[w.duties[0]]
	must.SliceLen(t, 2, list)
	return list
}

func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		terms := lease.DefaultTerms()
		w, first := held(terms)
		first.cancel()
		first.work.Wait()
		released := time.Now()
		list := w.afterKill(t, first)
		// A released duty is free at once; nobody waits for the lease to lapse.
		must.Less(t, terms.TTL/2, list[1].at.Sub(released))
		must.NoError(t, w.violation())
	})
}

func TestUnreadyProcessTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(newStore(), 1, 1, lease.DefaultTerms(), evenRate)
		w.nodes[0].options.Ready = func() bool { return false }
		w.nodes[0].manager = lease.NewManager(w.nodes[0].options)
		w.start()
		w.advance(30 * time.Second)
		w.stop()
		must.MapEmpty(t, w.acquired)
		must.MapEmpty(t, w.store.Counts())
	})
}

// TestPlannedStopInAnOutageHandsOverAtItsEnd has the store be out when the holder
// stops and for a while after it.
func TestPlannedStopInAnOutageHandsOverAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		terms := lease.DefaultTerms()
		w, first := held(terms)
		w.store.Set(faultstore.Faults{Down: true})
		first.cancel()
		w.advance(terms.ReleaseFor / 3)
		w.store.Set(faultstore.Faults{})
		back := time.Now()
		w.advance(terms.ReleaseFor / 3)
		list := w.afterKill(t, first)
		must.Less(t, terms.TTL/2, list[1].at.Sub(back))
		must.NoError(t, w.violation())
	})
}
