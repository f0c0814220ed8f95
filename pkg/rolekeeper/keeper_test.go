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
)

// plant is engines that carry orders out, and daemons that leave them out.
type plant struct {
	t     *testing.T
	mu    sync.Mutex
	roles map[ident.Target]fleet.Role
	taken map[ident.Target]uint64
	away  map[ident.Target]time.Time
	// untold fails the announcements.
	untold error
	// err is what the next orders answer; late has them carried out all the
	// same after a while.
	err  error
	late time.Duration
	// most is how many engines were changing at once.
	changing, most int
	orders         int
}

func (p *plant) Snapshot() *fleet.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []fleet.TargetState
	for i := range len(p.roles) {
		name := ident.Target(fmt.Sprintf("e%02d", i))
		states = append(states, fleet.TargetState{
			Record: external.TargetRecord{Target: name, Model: "m", FailureDomain: ident.FailureDomain(fmt.Sprint(i % 4))},
			Load:   fleet.LoadReport{Role: p.roles[name]},
		})
	}
	return fleet.NewSnapshot(states)
}

func (p *plant) Order(_ context.Context, order Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders++
	must.True(p.t, time.Now().Before(p.away[order.Target.Target]), must.Sprint("an engine is ordered that daemons still send to"))
	if order.After != p.taken[order.Target.Target] {
		return fault.New(fault.Conflict, "other orders", "ask")
	}
	if p.err == nil || p.late > 0 {
		p.carryOut(order)
	}
	return p.err
}

// carryOut changes the engine's role after a while, unless it took another
// order meanwhile.
func (p *plant) carryOut(order Order) {
	name := order.Target.Target
	p.changing++
	p.most = max(p.most, p.changing)
	time.AfterFunc(p.late+3*time.Second, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changing--
		if p.taken[name] == order.After {
			p.taken[name]++
			p.roles[name] = order.Role
		}
	})
}

func (p *plant) Taken(_ context.Context, target external.TargetRecord) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken[target.Target], nil
}

// authority is held until it is lost.
type authority struct{ lost bool }

func (a *authority) Duty() ident.Duty       { return "engines" }
func (a *authority) Fencing() ident.Fencing { return 7 }

func (a *authority) Check() error {
	if a.lost {
		return fault.New(fault.Fenced, "lost", "stop")
	}
	return nil
}

// keep runs a keeper over twelve mixed engines for a while.
func keep(t *testing.T, share float64, held *authority, d time.Duration, change func(p *plant)) *plant {
	p := &plant{t: t, roles: make(map[ident.Target]fleet.Role), taken: make(map[ident.Target]uint64), away: make(map[ident.Target]time.Time)}
	for i := range 12 {
		p.roles[ident.Target(fmt.Sprintf("e%02d", i))] = fleet.Mixed
	}
	change(p)
	keeper := New(Options{
		View: p, Orderer: p, Share: func(ident.Model) float64 { return share }, Settled: func() bool { return true },
		Away:       p.leaveOut,
		SwitchTime: func(ident.Model) time.Duration { return 3 * time.Second }, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	_ = keeper.Work(ctx, held)
	time.Sleep(20 * time.Second)
	return p
}

// noticeTime is how long daemons take to hear that engines are left out.
const noticeTime = 1500 * time.Millisecond

// leaveOut has nothing sent to engines from a while on.
func (p *plant) leaveOut(_ context.Context, targets []ident.Target, d time.Duration) error {
	if p.untold != nil {
		return p.untold
	}
	time.Sleep(noticeTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range targets {
		p.away[target] = time.Now().Add(d)
	}
	return nil
}

// TestNoEngineChangesThatDaemonsWereNotToldOf has the announcements fail.
func TestNoEngineChangesThatDaemonsWereNotToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := keep(t, 0.7, &authority{}, 30*time.Second, func(p *plant) { p.untold = external.ErrStoreUnavailable })
		must.Eq(t, 0, p.count())
		must.Eq(t, 0, p.most)
	})
}

// count returns how many engines compute prompts alone.
func (p *plant) count() (n int) {
	for _, role := range p.roles {
		if role == fleet.Prefill {
			n++
		}
	}
	return n
}

func TestShareIsReachedAFewEnginesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := keep(t, 0.7, &authority{}, time.Minute, func(*plant) {})
		must.Eq(t, 8, p.count())
		must.Eq(t, 8, p.orders, must.Sprint("one order an engine"))
		must.LessEq(t, 4, p.most)
	})
}

// TestLostAndLateOrdersAreNotRepeatedBlindly has orders go unanswered and be
// carried out seconds later.
func TestLostAndLateOrdersAreNotRepeatedBlindly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := keep(t, 0.7, &authority{}, 2*time.Minute, func(p *plant) {
			p.err, p.late = fault.New(fault.Unknown, "lost", "ask"), 9*time.Second
		})
		must.Eq(t, 8, p.count())
	})
}

func TestNothingIsOrderedWithoutAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		must.Eq(t, 0, keep(t, 0.7, &authority{lost: true}, time.Minute, func(*plant) {}).orders)
		must.Eq(t, 0, keep(t, -1, &authority{}, time.Minute, func(*plant) {}).orders, must.Sprint("a negative share leaves the roles"))
	})
}

// TestOrdersEndWithARefusedNumber has an engine refuse the fencing number.
func TestOrdersEndWithARefusedNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := keep(t, 0.7, &authority{}, time.Minute, func(p *plant) { p.err = fault.New(fault.Fenced, "higher", "stop") })
		must.Eq(t, 1, p.orders)
	})
}

// TestEnginesThatTookOtherOrdersAreAsked has every engine have taken orders
// before.
func TestEnginesThatTookOtherOrdersAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := keep(t, 0.7, &authority{}, time.Minute, func(p *plant) {
			for name := range p.roles {
				p.taken[name] = 5
			}
		})
		must.Eq(t, 8, p.count())
	})
}
