package rolekeeper

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// fakeEngines simulates engines that carry out role orders and daemons that exclude
// them from routing.
type fakeEngines struct {
	t             *testing.T
	mu            sync.Mutex
	roles         map[ident.Target]fleet.Role
	accepted      map[ident.Target]uint64
	excludedUntil map[ident.Target]time.Time
	// excludeErr is the error that exclude returns.
	excludeErr error
	// leaving are the engines that stated that they leave, ordered those that were
	// sent an order.
	leaving, ordered map[ident.Target]bool
	// pausedUntil is when the engines' pauses end.
	pausedUntil map[ident.Target]time.Time
	// onExclude is called with the engines of each exclusion, or is nil.
	onExclude func(targets []ident.Target)
	// work returns the Work of the keeper's Options; nil means that none is set.
	work func() Work
	// share returns the largest share; nil means a constant one.
	share func() float64
	// unseen are the engines that have an order whose effect the view does not show yet.
	unseen map[ident.Target]bool
	// err is the error that Order returns. If lateBy is positive, the orders
	// are carried out nevertheless, that much later.
	err    error
	lateBy time.Duration
	// changing is how many engines are changing now, maxChanging the highest
	// number so far.
	changing, maxChanging int
	orders                int
}

func (f *fakeEngines) Snapshot() *fleet.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []fleet.TargetState
	for i := range len(f.roles) {
		name := ident.Target(fmt.Sprintf("e%02d", i))
		states = append(states, fleet.TargetState{
			Record: external.TargetRecord{Target: name, Model: "m", FailureDomain: ident.FailureDomain(fmt.Sprint(i % 4))},
			Load:   fleet.LoadReport{Role: f.roles[name]},
		})
	}
	return fleet.NewSnapshot(states)
}

func (f *fakeEngines) Order(_ context.Context, order Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	if f.ordered != nil {
		f.ordered[order.Target.Target] = true
	}
	must.False(f.t, time.Now().Before(f.pausedUntil[order.Target.Target]), must.Sprint("order sent to a paused engine"))
	must.True(f.t, time.Now().Before(f.excludedUntil[order.Target.Target]), must.Sprint("order sent to an engine that is not excluded"))
	must.False(f.t, f.unseen[order.Target.Target], must.Sprint("order sent to an engine whose last change is not seen yet"))
	if order.After != f.accepted[order.Target.Target] {
		return fault.New(fault.Conflict, "the engine has accepted a different number of orders", "read the number of accepted orders")
	}
	if f.err == nil || f.lateBy > 0 {
		f.execute(order)
	}
	return f.err
}

// execute changes the engine's role after lateBy and 3 s more, unless the engine
// accepted another order meanwhile.
func (f *fakeEngines) execute(order Order) {
	name := order.Target.Target
	f.unseen[name] = true
	f.changing++
	f.maxChanging = max(f.maxChanging, f.changing)
	time.AfterFunc(f.lateBy+3*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.unseen, name)
		f.changing--
		if f.accepted[name] == order.After {
			f.accepted[name]++
			f.roles[name] = order.Role
		}
	})
}

func (f *fakeEngines) AcceptedOrders(_ context.Context, target external.TargetRecord) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted[target.Target], nil
}

// authority is a lease.Authority that is valid unless lost is set.
type authority struct{ lost bool }

func (a *authority) Duty() ident.Duty            { return "engines" }
func (a *authority) Fencing() ident.FencingToken { return 7 }

func (a *authority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return lease.CallUnder(ctx, a, send)
}

func (a *authority) Check() error {
	if a.lost {
		return fault.New(fault.Fenced, "lost", "stop")
	}
	return nil
}

// runKeeper runs a keeper over twelve mixed engines for d and waits for late orders
// to be carried out. change adjusts the engines before the start.
func runKeeper(t *testing.T, share float64, held *authority, d time.Duration, change func(f *fakeEngines)) *fakeEngines {
	f := &fakeEngines{
		t: t, roles: make(map[ident.Target]fleet.Role), accepted: make(map[ident.Target]uint64),
		excludedUntil: make(map[ident.Target]time.Time), unseen: make(map[ident.Target]bool),
	}
	for i := range 12 {
		f.roles[ident.Target(fmt.Sprintf("e%02d", i))] = fleet.Mixed
	}
	change(f)
	opts := Options{
		View: f, Orderer: f, Share: func(ident.Model) float64 { return share }, Settled: func() bool { return true },
		Exclude:    f.exclude,
		Paused:     func(engine *fleet.TargetState) bool { return time.Now().Before(f.pausedUntil[engine.Record.Target]) },
		Leaving:    func(engine *fleet.TargetState) bool { return f.leaving[engine.Record.Target] },
		SwitchTime: func(ident.Model) time.Duration { return 3 * time.Second }, Log: slog.New(slog.DiscardHandler),
	}
	if f.share != nil {
		opts.Share = func(ident.Model) float64 { return f.share() }
	}
	if f.work != nil {
		opts.Work = func(ident.Model) (Work, bool) { return f.work(), true }
	}
	keeper := New(opts)
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = keeper.Work(ctx, held)
	time.Sleep(20 * time.Second)
	return f
}

// propagationDelay is how long it takes until all daemons apply an exclusion.
const propagationDelay = 1500 * time.Millisecond

// exclude excludes targets for d, after propagationDelay. It is the Exclude of the
// keeper's Options.
func (f *fakeEngines) exclude(_ context.Context, targets []ident.Target, d time.Duration) error {
	if f.excludeErr != nil {
		return f.excludeErr
	}
	time.Sleep(propagationDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onExclude != nil {
		f.onExclude(targets)
	}
	for _, target := range targets {
		f.excludedUntil[target] = time.Now().Add(d)
	}
	return nil
}

// TestNoRoleChangeWithoutExclusion checks that no role changes while engines
// can't be excluded from routing.
func TestNoRoleChangeWithoutExclusion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, 30*time.Second, func(f *fakeEngines) { f.excludeErr = external.ErrStoreUnavailable })
		must.Eq(t, 0, f.prefillCount())
		must.Eq(t, 0, f.maxChanging)
	})
}

// prefillCount returns how many engines have the prefill role.
func (f *fakeEngines) prefillCount() (n int) {
	for _, role := range f.roles {
		if role == fleet.Prefill {
			n++
		}
	}
	return n
}

func TestShareIsReachedWithFewConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, time.Minute, func(*fakeEngines) {})
		must.Eq(t, 8, f.prefillCount())
		must.Eq(t, 8, f.orders, must.Sprint("one order per engine"))
		must.LessEq(t, 4, f.maxChanging)
	})
}

// TestLateUnansweredOrdersReachTheShare checks that the share is reached and not
// exceeded if the responses to all orders are lost and the orders take effect
// seconds later.
func TestLateUnansweredOrdersReachTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, 2*time.Minute, func(f *fakeEngines) {
			f.err, f.lateBy = fault.New(fault.Unknown, "the response was lost", "read the number of accepted orders"), 9*time.Second
		})
		must.Eq(t, 8, f.prefillCount())
	})
}

func TestNothingIsOrderedWithoutAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		must.Eq(t, 0, runKeeper(t, 0.7, &authority{lost: true}, time.Minute, func(*fakeEngines) {}).orders)
		must.Eq(t, 0, runKeeper(t, -1, &authority{}, time.Minute, func(*fakeEngines) {}).orders, must.Sprint("a negative share leaves the roles as they are"))
	})
}

// TestOrderingStopsWhenFenced checks that the first order that an engine refuses
// for its fencing token is the last one.
func TestOrderingStopsWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, time.Minute, func(f *fakeEngines) { f.err = fault.New(fault.Fenced, "higher", "stop") })
		must.Eq(t, 1, f.orders)
	})
}

// TestOrderCountIsReadAfterConflict checks that the keeper reads the number of
// orders from engines that have accepted orders before, and then reaches the share.
func TestOrderCountIsReadAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, time.Minute, func(f *fakeEngines) {
			for name := range f.roles {
				f.accepted[name] = 5
			}
		})
		must.Eq(t, 8, f.prefillCount())
	})
}

// TestEngineIsNotOrderedBackBeforeItsChangeIsSeen lets the share fall to nothing while
// engines change to prefill. An engine that is ordered back then is away for a second
// change, while the first one, once seen, ends its exclusion at all daemons: seen in a
// day in which one engine refused the requests of 29 callers so.
func TestEngineIsNotOrderedBackBeforeItsChangeIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runKeeper(t, 0.7, &authority{}, 2*time.Minute, func(f *fakeEngines) {
			f.lateBy = 4 * time.Second
			f.share = func() float64 {
				if f.orderCount() == 0 {
					return 0.2
				}
				return 0
			}
		})
		must.Eq(t, 0, f.prefillCount())
		must.Greater(t, 0, f.orders)
	})
}

// orderCount returns the number of orders so far.
func (f *fakeEngines) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}
