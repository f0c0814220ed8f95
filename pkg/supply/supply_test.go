package supply

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

func TestAnyOneDomainMayGo(t *testing.T) {
	knobs := config.BuiltinKnobs().Supply
	rapid.Check(t, func(t *rapid.T) {
		need := Need{Interactive: rapid.IntRange(0, 30).Draw(t, "interactive")}
		need.Total = need.Interactive + rapid.IntRange(0, 20).Draw(t, "deferrable")
		domains := rapid.IntRange(0, 8).Draw(t, "domains")
		mix := Choose(need, domains, &knobs)
		must.GreaterEq(t, need.Total, mix.Dependable+mix.Reclaimable)
		held := 0
		for i := range domains {
			here := spread(mix.Reclaimable, domains, i, 0)
			held += here
			must.GreaterEq(t, need.Interactive, mix.Dependable+mix.Reclaimable-here)
		}
		must.Eq(t, mix.Reclaimable, held)
		// Never dearer than dependable targets alone.
		must.LessEq(t, float64(need.Total), float64(mix.Dependable)+float64(mix.Reclaimable)*knobs.ReclaimablePrice)
	})
}

func TestSpreadSumsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, domains := rapid.IntRange(0, 50).Draw(t, "count"), rapid.IntRange(1, 9).Draw(t, "domains")
		first, sum := rapid.IntRange(0, domains-1).Draw(t, "first"), 0
		for i := range domains {
			sum += spread(count, domains, i, first)
		}
		must.Eq(t, count, sum)
	})
}

// bed plays a fleet with a constant demand for each engine.
type bed struct {
	planner *Planner
	now     time.Time
	states  []fleet.TargetState
	made    int
	// refuses is where no reclaimable targets are to be had.
	refuses ident.FailureDomain
}

var domains = []ident.FailureDomain{"a", "b", "c", "d"}

func newBed(engines int) *bed {
	knobs := config.BuiltinKnobs().Supply
	b := &bed{now: time.Unix(1e9, 0)}
	b.planner = NewPlanner(Options{Domains: domains, Knobs: func(ident.Model) *config.SupplyKnobs { return &knobs }})
	for i := range engines {
		kind := external.Reclaimable
		if i < 4 {
			kind = external.Dependable
		}
		b.add(domains[i%4], kind)
	}
	return b
}

func (b *bed) add(domain ident.FailureDomain, kind external.TargetKind) {
	b.made++
	name := ident.Target(fmt.Sprintf("e%03d", b.made))
	b.states = append(b.states, fleet.TargetState{
		Record: external.TargetRecord{Target: name, Model: "m", FailureDomain: domain, Kind: kind},
		Load:   fleet.LoadReport{Target: name, Incarnation: 1, Slots: 32, PrefillRate: 20000, DecodeRate: 30},
	})
}

// take carries an order out at once.
func (b *bed) take(order external.TargetOrder) {
	here := 0
	b.states = slices.DeleteFunc(b.states, func(s fleet.TargetState) bool {
		if s.Record.FailureDomain != order.FailureDomain || s.Record.Kind != order.Kind {
			return false
		}
		here++
		return here > order.Wanted
	})
	for ; here < order.Wanted && (order.Kind == external.Dependable || order.FailureDomain != b.refuses); here++ {
		b.add(order.FailureDomain, order.Kind)
	}
}

// constantWork is the work that the engines report, in engines.
const constantWork = 7.0

// run lets the engines report constantWork for some seconds, carries out
// the plans and returns the last, by failure domain and kind.
func (b *bed) run(seconds int) map[string]int {
	wanted := map[string]int{}
	for range seconds {
		b.now = b.now.Add(time.Second)
		for i := range b.states {
			load := &b.states[i].Load
			load.Sequence++
			load.TakenAt = b.now
			load.ComputedTokens += uint64(constantWork / float64(len(b.states)) * 20000)
		}
		snapshot := fleet.NewSnapshot(append([]fleet.TargetState(nil), b.states...))
		for _, order := range b.planner.PlanSupply(snapshot, b.now) {
			wanted[string(order.FailureDomain)+"/"+string(order.Kind)] = order.Wanted
			b.take(order)
		}
	}
	return wanted
}

func TestConstantDemandKeepsTheOrders(t *testing.T) {
	b := newBed(12)
	first := b.run(900)
	for range 20 {
		must.Eq(t, first, b.run(60))
	}
}

func TestDomainThatTakesBackGetsNoMoreReclaimable(t *testing.T) {
	b := newBed(12)
	before := b.run(900)
	must.Positive(t, before["b/reclaimable"])
	for i := range b.states {
		if b.states[i].Record.FailureDomain == "b" && b.states[i].Record.Kind == external.Reclaimable {
			b.states[i].Record.Leaving = true
		}
	}
	b.refuses = "b"
	after := b.run(10)
	must.Eq(t, 0, after["b/reclaimable"])
	sum := 0
	for _, n := range after {
		sum += n
	}
	must.GreaterEq(t, 8, sum)
}

func TestWorkThatEndsInTimeStays(t *testing.T) {
	knobs := config.BuiltinKnobs().Supply
	leave := time.Unix(1000, 0)
	must.False(t, MustMove(leave.Add(-3*time.Second), leave, &knobs))
	must.True(t, MustMove(leave.Add(-time.Second), leave, &knobs))
	must.False(t, MustMove(leave, time.Time{}, &knobs))
}
