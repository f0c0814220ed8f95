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
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// bootTime is the time from an order until its engines are there.
const bootTime = 4 * time.Second

// fakePlatform implements Orderer and fleet.View: it starts and stops engines as
// ordered.
type fakePlatform struct {
	mu   sync.Mutex
	have map[group]int
	// err is returned for every order. With an error, orders are carried out
	// only if applyOnError is set.
	err          error
	applyOnError bool
	// refused holds the errors of orders for some failure domains, which are not
	// carried out.
	refused map[ident.FailureDomain]error
	// refusesReclaimable is the error of orders for reclaimable engines, which are not
	// carried out, unless it is nil.
	refusesReclaimable error
	orderCalls         int
	// fewest is the lowest total count of engines since the start.
	fewest int
}

// newFakePlatform returns a platform with three dependable engines in each of two
// failure domains.
func newFakePlatform() *fakePlatform {
	p := &fakePlatform{have: make(map[group]int), fewest: 6}
	for _, domain := range []ident.FailureDomain{"a", "b"} {
		p.have[group{"m", domain, external.Dependable}] = 3
	}
	return p
}

func (p *fakePlatform) Snapshot() *fleet.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []fleet.TargetState
	for key, count := range p.have {
		for n := range count {
			states = append(states, fleet.TargetState{Record: external.TargetRecord{
				Target: ident.Target(fmt.Sprint(key, n)), Model: key.model, FailureDomain: key.domain, Kind: key.kind,
			}})
		}
	}
	return fleet.NewSnapshot(states)
}

func (p *fakePlatform) OrderEngines(_ context.Context, order Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderCalls++
	if err := p.refused[order.Domain]; err != nil {
		return err
	}
	if order.Kind == external.Reclaimable && p.refusesReclaimable != nil {
		return p.refusesReclaimable
	}
	if p.err == nil || p.applyOnError {
		key := group{order.Model, order.Domain, order.Kind}
		if order.Count < p.have[key] {
			p.set(key, order.Count)
		} else {
			time.AfterFunc(bootTime, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.set(key, order.Count)
			})
		}
	}
	return p.err
}

// sleepBoots sleeps for the time in which ordered engines are there, several times.
func sleepBoots(n int) { time.Sleep(time.Duration(n) * bootTime) }

// set changes a group's count.
func (p *fakePlatform) set(key group, count int) {
	p.have[key] = count
	total := 0
	for _, n := range p.have {
		total += n
	}
	p.fewest = min(p.fewest, total)
}

// count returns the engines of a kind in a failure domain.
func (p *fakePlatform) count(domain ident.FailureDomain, kind external.TargetKind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.have[group{"m", domain, kind}]
}

// staticConfig is a config.Source whose configuration never changes.
type staticConfig struct{ snapshot *config.Snapshot }

func (s staticConfig) Current() *config.Snapshot { return s.snapshot }

// heldAuthority is a lease.Authority that never ends.
type heldAuthority struct{}

func (heldAuthority) Duty() ident.Duty            { return "engines" }
func (heldAuthority) Fencing() ident.FencingToken { return 7 }

func (a heldAuthority) Call(ctx context.Context, send func(ctx context.Context) error) error {
	return lease.CallUnder(ctx, a, send)
}
func (heldAuthority) Check() error { return nil }

// runKeeper runs a keeper whose desired counts are one dependable and four
// reclaimable engines in each failure domain. It calls change after 30 seconds
// and runs the keeper for another 30.
func runKeeper(t *testing.T, p *fakePlatform, change func()) *Keeper {
	defaults := config.BuiltinKnobs()
	defaults.Supply.DependablePerDomain, defaults.Supply.ReclaimableShare = 1, 0.7
	document := &config.Document{Defaults: defaults, Models: []config.Model{{Name: "m", Scaling: &config.Scaling{
		Minimum: 1, Maximum: 6, Boot: config.Duration(bootTime), ReclaimablePrice: 0.2,
		Prices: map[ident.FailureDomain]float64{"a": 1, "b": 1},
	}}}}
	keeper := New(Options{View: p, Orderer: p, Config: staticConfig{config.NewSnapshot(1, document)}, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- keeper.Work(ctx, heldAuthority{}) }()
	time.Sleep(30 * time.Second)
	change()
	time.Sleep(30 * time.Second)
	cancel()
	must.NoError(t, <-done)
	return keeper
}

func TestReclaimableEnginesReplaceDependable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		keeper := runKeeper(t, p, func() {})
		for _, domain := range []ident.FailureDomain{"a", "b"} {
			must.Eq(t, 1, p.count(domain, external.Dependable))
			must.Eq(t, 4, p.count(domain, external.Reclaimable))
		}
		must.True(t, keeper.Settled())
		must.GreaterEq(t, 6, p.fewest, must.Sprint("no engine is returned before its replacement is there"))
		must.LessEq(t, 6, p.orderCalls)
	})
}

// TestReclaimedEnginesAreReordered removes the reclaimable engines of a failure
// domain while the platform has none available. The keeper must repeat its order
// at a limited rate and get the engines once they are available again.
func TestReclaimedEnginesAreReordered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		runKeeper(t, p, func() {
			p.mu.Lock()
			p.set(group{"m", "a", external.Reclaimable}, 0)
			p.err, p.orderCalls = fault.New(fault.Conflict, "no engines available", "order later"), 0
			p.mu.Unlock()
			time.Sleep(10 * time.Second)
			p.mu.Lock()
			must.Between(t, 3, p.orderCalls, 5, must.Sprint("order calls in 10 s while none are available"))
			p.err = nil
			p.mu.Unlock()
		})
		must.Eq(t, 4, p.count("a", external.Reclaimable))
	})
}

// TestLostResponseCausesNoDuplicateOrders loses the responses to orders that are
// carried out. Repeated orders must not start more engines than desired.
func TestLostResponseCausesNoDuplicateOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.err, p.applyOnError = fault.New(fault.Unknown, "the response was lost", "read the counts again"), true
		runKeeper(t, p, func() {})
		must.Eq(t, 4, p.count("b", external.Reclaimable))
		must.Eq(t, 1, p.count("b", external.Dependable))
		must.LessEq(t, 6, p.orderCalls)
	})
}
