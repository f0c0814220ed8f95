package supplykeeper

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// bootTime is the time from an order until its engines serve.
const bootTime = 4 * time.Second

// yard has engines booted and given back as ordered.
type yard struct {
	mu   sync.Mutex
	have map[place]int
	// err fails the orders, which are carried out all the same where lost is
	// set.
	err    error
	lost   bool
	orders int
	// least is the fewest engines that there were since the first order.
	least int
}

// newYard returns three engines that stay in each of two failure domains.
func newYard() *yard {
	y := &yard{have: make(map[place]int), least: 6}
	for _, domain := range []ident.FailureDomain{"a", "b"} {
		y.have[place{"m", domain, external.Dependable}] = 3
	}
	return y
}

func (y *yard) Snapshot() *fleet.Snapshot {
	y.mu.Lock()
	defer y.mu.Unlock()
	var states []fleet.TargetState
	for at, count := range y.have {
		for n := range count {
			states = append(states, fleet.TargetState{Record: external.TargetRecord{
				Target: ident.Target(fmt.Sprint(at, n)), Model: at.model, FailureDomain: at.domain, Kind: at.kind,
			}})
		}
	}
	return fleet.NewSnapshot(states)
}

func (y *yard) OrderEngines(_ context.Context, order Order) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.orders++
	if y.err == nil || y.lost {
		at := place{order.Model, order.Domain, order.Kind}
		if order.Count < y.have[at] {
			y.set(at, order.Count)
		} else {
			time.AfterFunc(bootTime, func() {
				y.mu.Lock()
				defer y.mu.Unlock()
				y.set(at, order.Count)
			})
		}
	}
	return y.err
}

// set changes a place's count.
func (y *yard) set(at place, count int) {
	y.have[at] = count
	total := 0
	for _, n := range y.have {
		total += n
	}
	y.least = min(y.least, total)
}

// count returns the engines of a kind in a failure domain.
func (y *yard) count(domain ident.FailureDomain, kind external.TargetKind) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.have[place{"m", domain, kind}]
}

// fixed is a configuration that stays.
type fixed struct{ snapshot *config.Snapshot }

func (f fixed) Current() *config.Snapshot { return f.snapshot }

// authority is held.
type authority struct{}

func (authority) Duty() ident.Duty       { return "engines" }
func (authority) Fencing() ident.Fencing { return 7 }
func (authority) Check() error           { return nil }

// keep runs a keeper that wants one engine that stays and four others in each
// failure domain. Change is made after a while, and the keeper runs on.
func keep(t *testing.T, y *yard, change func()) *Keeper {
	defaults := config.BuiltinKnobs()
	defaults.Supply.DependablePerDomain, defaults.Supply.ReclaimableShare = 1, 0.7
	document := &config.Document{Defaults: defaults, Models: []config.Model{{Name: "m", Scaling: &config.Scaling{
		Minimum: 1, Maximum: 6, Boot: config.Duration(bootTime), ReclaimablePrice: 0.2,
		Prices: map[ident.FailureDomain]float64{"a": 1, "b": 1},
	}}}}
	keeper := New(Options{View: y, Orderer: y, Config: fixed{config.NewSnapshot(1, document)}, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- keeper.Work(ctx, authority{}) }()
	time.Sleep(30 * time.Second)
	change()
	time.Sleep(30 * time.Second)
	cancel()
	must.NoError(t, <-done)
	return keeper
}

func TestEnginesThatStayGiveWayToCheapOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard()
		keeper := keep(t, y, func() {})
		for _, domain := range []ident.FailureDomain{"a", "b"} {
			must.Eq(t, 1, y.count(domain, external.Dependable))
			must.Eq(t, 4, y.count(domain, external.Reclaimable))
		}
		must.True(t, keeper.Settled())
		must.GreaterEq(t, 6, y.least, must.Sprint("none is given back before others are there"))
		must.LessEq(t, 6, y.orders)
	})
}

// TestEnginesThatAreTakenBackAreOrderedAgain takes a failure domain's cheap
// engines back while the platform has none to give, and then has some.
func TestEnginesThatAreTakenBackAreOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard()
		keep(t, y, func() {
			y.mu.Lock()
			y.set(place{"m", "a", external.Reclaimable}, 0)
			y.err, y.orders = fault.New(fault.Conflict, "none to be had", "order later"), 0
			y.mu.Unlock()
			time.Sleep(10 * time.Second)
			y.mu.Lock()
			must.Between(t, 3, y.orders, 5, must.Sprint("asked for again in measure"))
			y.err = nil
			y.mu.Unlock()
		})
		must.Eq(t, 4, y.count("a", external.Reclaimable))
	})
}

// TestALostAnswerOrdersNothingTwice loses the answers of orders that are carried
// out.
func TestALostAnswerOrdersNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard()
		y.err, y.lost = fault.New(fault.Unknown, "the answer was lost", "look again"), true
		keep(t, y, func() {})
		must.Eq(t, 4, y.count("b", external.Reclaimable))
		must.Eq(t, 1, y.count("b", external.Dependable))
		must.LessEq(t, 6, y.orders)
	})
}
