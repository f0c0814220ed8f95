package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

func newTestServiceRouter(n int) (*ServiceRouter, *time.Time) {
	states := make([]fleet.TargetState, n)
	for i := range states {
		states[i] = fleet.TargetState{SeenAt: testNow, Record: external.TargetRecord{Target: ident.Target(fmt.Sprint(i)), Service: "s"}}
	}
	knobs, now := config.BuiltinKnobs(), testNow
	return NewServiceRouter(Options{
		View: &fixedView{fleet.NewSnapshot(states)}, Knobs: func() *config.RoutingKnobs { return &knobs.Routing },
		Now: func() time.Time { return now }, Random: rand.New(rand.NewPCG(1, 2)),
	}), &now
}

func TestEjectionIsLimitedToOutlierShare(t *testing.T) {
	s, now := newTestServiceRouter(6)
	for i := range 6 {
		for range 10 {
			s.ObserveResult(ident.Target(fmt.Sprint(i)), Failed)
		}
	}
	callsByReplica := func() map[ident.Target]int {
		counts := map[ident.Target]int{}
		for range 200 {
			state, err := s.Choose(&request.Request{Service: "s"}, nil)
			must.NoError(t, err)
			counts[state.Record.Target]++
			s.Done(nil, state.Record.Target)
		}
		return counts
	}
	must.MapLen(t, 4, callsByReplica())
	*now = now.Add(4 * time.Second)
	must.MapLen(t, 4, callsByReplica())
	*now = now.Add(time.Second + time.Millisecond)
	s.opts.View = refreshed(s.opts.View, *now)
	must.MapLen(t, 6, callsByReplica())
}

// refreshed returns the view with all targets seen at now.
func refreshed(view fleet.View, now time.Time) fleet.View {
	states := view.Snapshot().Targets
	for i := range states {
		states[i].SeenAt = now
	}
	return &fixedView{fleet.NewSnapshot(states)}
}

func TestCallsAreSpreadEvenly(t *testing.T) {
	s, _ := newTestServiceRouter(4)
	counts := map[ident.Target]int{}
	for range 400 {
		state, err := s.Choose(&request.Request{Service: "s"}, nil)
		must.NoError(t, err)
		counts[state.Record.Target]++
	}
	for _, n := range counts {
		must.Between(t, 95, n, 105)
	}
}
