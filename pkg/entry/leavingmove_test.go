package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// TestStreamDoesNotMoveToLeavingEngine guards against moving a stream to the engine that
// its placement names for the answer, if that engine left between the placement and the
// move, by its own word or by the platform's mark.
func TestStreamDoesNotMoveToLeavingEngine(t *testing.T) {
	for name, leave := range map[string]func(r *rig.Rig, router *routing.CombinedRouter){
		"own word": func(_ *rig.Rig, router *routing.CombinedRouter) {
			router.ObserveNotice("engine-2", 0, fleet.TargetNotice{Leaving: true})
		},
		"mark": func(r *rig.Rig, _ *routing.CombinedRouter) { r.View.Leave("engine-2", time.Now().Add(time.Hour)) },
	} {
		t.Run(name, func(t *testing.T) {
			var router *routing.CombinedRouter
			opts := moveOptions
			opts.NewRouter = func(r *rig.Rig) routing.Router {
				knobs := config.BuiltinKnobs()
				router = routing.New(routing.Options{
					View: r.View, Now: time.Now, Random: rand.New(rand.NewPCG(1, 2)),
					Knobs: func() *config.RoutingKnobs { return &knobs.Routing },
				})
				return router
			}
			inFakeTime(t, opts, func(t *testing.T, r *rig.Rig) {
				states := append([]fleet.TargetState(nil), r.View.Snapshot().Targets...)
				for i, role := range []fleet.Role{fleet.Prefill, fleet.Decode, fleet.Decode} {
					states[i].SeenAt, states[i].LoadAt = time.Now(), time.Now()
					states[i].Load = fleet.LoadReport{Sequence: 1, Role: role, Slots: 8, PrefillRate: 1000, DecodeRate: 20 / float64(i+1)}
				}
				r.View.Set(states...)
				done := make(chan reply)
				go func() { done <- send(r.Caller(), longStream()) }()
				time.Sleep(longInterval / 2)
				leave(r, router)
				got := <-done
				must.True(t, isLongAnswer(got), must.Sprint(got))
				must.Eq(t, 0, r.Engines[1].Generated())
			})
		})
	}
}
