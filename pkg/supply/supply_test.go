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

func TestMixSurvivesLossOfAnyDomain(t *testing.T) {
	knobs := config.BuiltinKnobs().Supply
	rapid.Check(t, func(t *rapid.T) {
		need := Need{Interactive: rapid.IntRange(0, 30).Draw(t, "interactive")}
		need.Total = need.Interactive + rapid.IntRange(0, 20).Draw(t, "deferrable")
		domains := rapid.IntRange(0, 8).Draw(t, "domains")
		mix := CheapestMix(need, domains, &knobs)
		must.GreaterEq(t, need.Total, mix.Dependable+mix.Reclaimable)
		sum := 0
		for i := range domains {
			here := spreadShare(mix.Reclaimable, domains, i, 0)
			sum += here
			must.GreaterEq(t, need.Interactive, mix.Dependable+mix.Reclaimable-here)
		}
		must.Eq(t, mix.Reclaimable, sum)
		// The mix never costs more than dependable targets alone.
		must.LessEq(t, float64(need.Total), float64(mix.Dependable)+float64(mix.Reclaimable)*knobs.ReclaimablePrice)
	})
}

func TestSpreadShareSumsToCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, domains := rapid.IntRange(0, 50).Draw(t, "count"), rapid.IntRange(1, 9).Draw(t, "domains")
		first, sum := rapid.IntRange(0, domains-1).Draw(t, "first"), 0
		for i := range domains {
			sum += spreadShare(count, domains, i, first)
		}
		must.Eq(t, count, sum)
	})
}

// simulation simulates a fleet with a constant total demand that carries out the
// planner's orders.
type simulation struct {
	planner *Planner
	now     time.Time
	states  []fleet.TargetState
	created int
	// exhausted is the failure domain without available reclaimable targets.
	exhausted ident.FailureDomain
}

var domains = []ident.FailureDomain{"a", "b", "c", "d"}

func newSimulation(engines int) *simulation {
	knobs := config.BuiltinKnobs().Supply
	s := &simulation{now: time.Unix(1e9, 0)}
	s.planner = NewPlanner(Options{Domains: domains, Knobs: func(ident.Model) *config.SupplyKnobs { return &knobs }})
	for i := range engines {
		kind := external.Reclaimable
		if i < 4 {
			kind = external.Dependable
		}
		s.add(domains[i%4], kind)
	}
	return s
}

func (s *simulation) add(domain ident.FailureDomain, kind external.TargetKind) {
	s.created++
	name := ident.Target(fmt.Sprintf("e%03d", s.created))
	s.states = append(s.states, fleet.TargetState{
		Record: external.TargetRecord{Target: name, Model: "m", FailureDomain: domain, Kind: kind},
		Load:   fleet.LoadReport{Target: name, Incarnation: 1, Slots: 32, PrefillRate: 20000, DecodeRate: 30},
	})
}

// apply carries out an order immediately.
func (s *simulation) apply(order external.TargetOrder) {
	here := 0
	s.states = slices.DeleteFunc(s.states, func(state fleet.TargetState) bool {
		if state.Record.FailureDomain != order.FailureDomain || state.Record.Kind != order.Kind {
			return false
		}
		here++
		return here > order.DesiredCount
	})
	for ; here < order.DesiredCount && (order.Kind == external.Dependable || order.FailureDomain != s.exhausted); here++ {
		s.add(order.FailureDomain, order.Kind)
	}
}

// constantWork is the total work that the engines report, as the number of
// engines that it keeps fully busy.
const constantWork = 7.0

// run simulates some seconds in which the engines report constantWork and the
// plans are carried out. It returns the last plan, by failure domain and kind.
func (s *simulation) run(seconds int) map[string]int {
	wanted := map[string]int{}
	for range seconds {
		s.now = s.now.Add(time.Second)
		for i := range s.states {
			load := &s.states[i].Load
			load.Sequence++
			load.TakenAt = s.now
			load.ComputedTokens += uint64(constantWork / float64(len(s.states)) * 20000)
		}
		snapshot := fleet.NewSnapshot(append([]fleet.TargetState(nil), s.states...))
		for _, order := range s.planner.PlanSupply(snapshot, s.now) {
			wanted[string(order.FailureDomain)+"/"+string(order.Kind)] = order.DesiredCount
			s.apply(order)
		}
	}
	return wanted
}

func TestConstantDemandKeepsOrdersStable(t *testing.T) {
	s := newSimulation(12)
	first := s.run(900)
	for range 20 {
		must.Eq(t, first, s.run(60))
	}
}

func TestReclaimingDomainGetsNoReclaimableTargets(t *testing.T) {
	s := newSimulation(12)
	before := s.run(900)
	must.Positive(t, before["b/reclaimable"])
	for i := range s.states {
		if s.states[i].Record.FailureDomain == "b" && s.states[i].Record.Kind == external.Reclaimable {
			s.states[i].Record.Leaving = true
		}
	}
	s.exhausted = "b"
	after := s.run(10)
	must.Eq(t, 0, after["b/reclaimable"])
	sum := 0
	for _, n := range after {
		sum += n
	}
	must.GreaterEq(t, 8, sum)
}

func TestMustMove(t *testing.T) {
	knobs := config.BuiltinKnobs().Supply
	leave := time.Unix(1000, 0)
	must.False(t, MustMove(leave.Add(-3*time.Second), leave, &knobs))
	must.True(t, MustMove(leave.Add(-time.Second), leave, &knobs))
	must.False(t, MustMove(leave, time.Time{}, &knobs))
}
