package storeera_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/tally"
)

const (
	// seeds is the number of random runs, of which detectionSeeds are tried at most to
	// show that a mechanism is switched off. Faults are injected for faultTime in each,
	// and the fleet then runs on for quietTime.
	seeds          = 16
	detectionSeeds = 40
	faultTime      = 60 * time.Second
	quietTime      = 25 * time.Second
	// lateWindows is how many windows the last report may lie behind in the end.
	lateWindows = 3
)

// run plays one random run with one mechanism switched off, and returns the violations.
func run(t *testing.T, seed uint64, off mechanism) []string { return runWith(t, seed, off, false) }

// runWith is run, with the faults of moreFault if more is set.
func runWith(t *testing.T, seed uint64, off mechanism, more bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := clock.NewRuntime()
		memory := memstore.New(c)
		f := &fleet{
			off: off, more: more, random: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, memory: memory, store: faultstore.New(memory),
			time: tally.NewSteadyWallClock(c), sink: sink{reports: make(map[tally.Window]tally.Counts)},
			world: world{
				targets: make(map[ident.Target]int), leaving: make(map[ident.Target]time.Time), seen: make(map[ident.Target]time.Time),
				cut: make(map[*daemon]time.Time), restart: make(map[ident.Host]time.Time), rewritten: true, checked: true,
			},
		}
		f.configure(true)
		for range targetCount {
			f.addTarget()
		}
		for i := range daemonCount {
			f.start(ident.Host(fmt.Sprintf("host-%d", i)))
		}
		f.play(10*time.Second, 0)
		f.play(faultTime, 0.02)
		f.play(quietTime, 0)
		if behind := tally.Window(f.time.Now().UnixNano()/int64(windowLength)) - f.sink.last; behind > lateWindows {
			f.violate("the last report lies %d windows behind", behind)
		}
		violations = f.violations
		for _, d := range f.running() {
			f.kill(d)
		}
		cancel()
		for _, d := range f.daemons {
			d.work.Wait()
		}
	})
	return violations
}

// play lets the fleet run for a time, with a fault at each step with the given
// probability.
func (f *fleet) play(d time.Duration, faults float64) {
	for range d / stepTime {
		time.Sleep(stepTime)
		synctest.Wait()
		f.live()
		f.repair()
		if f.random.Float64() < faults {
			f.fault()
		}
		synctest.Wait()
		f.check()
	}
}

// TestFleetOverEras plays random returns of the store to older copies between kills and
// cuts, and checks that fencing tokens neither fall nor repeat across holders, that each
// window is reported with one set of counts, that no configuration and no leaving target
// comes back, that no target is lost, and that all agree two seconds after a return.
func TestFleetOverEras(t *testing.T) {
	for seed := range uint64(seeds) {
		must.SliceEmpty(t, run(t, seed, nothing), must.Sprint("seed ", seed))
	}
}

// TestSwitchedOffMechanismsAreDetected expects a violation within such runs for each
// mechanism that is switched off.
func TestSwitchedOffMechanismsAreDetected(t *testing.T) {
	for _, off := range []mechanism{guarding, eraOfLeases, windowMemory, fullReads, entryGrace, entryMemory, configVersions} {
		t.Run(string(off), func(t *testing.T) {
			for seed := range uint64(detectionSeeds) {
				if violations := run(t, seed, off); len(violations) > 0 {
					t.Log(seed, violations[0])
					return
				}
			}
			t.Error("nothing was violated")
		})
	}
}
