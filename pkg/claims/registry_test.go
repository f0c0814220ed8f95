package claims

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

// startRegistries returns n running registries that share one store, or have
// separate ones.
func startRegistries(n int, separateStores bool) ([]*Registry, []*faultstore.Store, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	shared := memstore.New(clock.NewRuntime())
	var registries []*Registry
	var stores []*faultstore.Store
	ended := make(chan struct{})
	for range n {
		inner := shared
		if separateStores {
			inner = memstore.New(clock.NewRuntime())
		}
		store := faultstore.New(inner)
		registry := New(Options{Store: store, Log: slog.New(slog.DiscardHandler)})
		go func() {
			_ = registry.Run(ctx)
			ended <- struct{}{}
		}()
		registries, stores = append(registries, registry), append(stores, store)
	}
	return registries, stores, func() {
		cancel()
		for range n {
			<-ended
		}
	}
}

// step is one submission, with the faults of the store and the outcome of the
// request.
type step struct {
	Daemon, Key int
	Down        bool
	// LoseResponses are the numbers, from one, of the writes whose responses
	// are lost.
	LoseResponses []int
	// End is the outcome of the request if it is sent.
	End string
}

// runSteps makes the submissions and returns the number of runs of each key.
func runSteps(steps []step, separateStores bool) (map[int]int, error) {
	registries, stores, stop := startRegistries(2, separateStores)
	defer stop()
	ran := make(map[int]int)
	for _, s := range steps {
		writes := 0
		stores[s.Daemon].Set(faultstore.Faults{Down: s.Down, LoseResponse: func(external.Key) bool {
			writes++
			for _, n := range s.LoseResponses {
				if n == writes {
					return true
				}
			}
			return false
		}})
		key := Key{Workspace: "w", Route: "r", Text: fmt.Sprint(s.Key)}
		active, found, err := registries[s.Daemon].Claim(key, FingerprintOf("POST", "/", nil), time.Now().Add(time.Second))
		switch {
		case err != nil && fault.KindOf(err) != fault.Unavailable:
			return ran, err
		case err == nil && (active == nil) == (found == nil):
			return ran, fmt.Errorf("neither or both of active and earlier claim returned")
		case found != nil && found.State == Answered && (found.Response == nil || string(found.Response.Body) != fmt.Sprint(s.Key)):
			return ran, fmt.Errorf("answer of another request returned")
		case active != nil && s.End == "not run":
			active.NotRun()
		case active != nil:
			ran[s.Key]++
			if s.End == "answered" {
				active.Answered(Response{Status: 200, Body: fmt.Append(nil, s.Key)})
			}
			if s.End == "unknown" {
				active.Unknown()
			}
		}
		synctest.Wait()
	}
	return ran, nil
}

// TestKeyRunsAtMostOnce submits keys through two daemons while the store is down
// or loses responses.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				Daemon: rapid.IntRange(0, 1).Draw(rt, "daemon"), Key: rapid.IntRange(0, 2).Draw(rt, "key"),
				Down:          rapid.IntRange(0, 4).Draw(rt, "down") == 0,
				LoseResponses: rapid.SliceOfN(rapid.IntRange(1, 9), 0, 9).Draw(rt, "lose"),
				End:           rapid.SampledFrom([]string{"answered", "unknown", "not run", "killed"}).Draw(rt, "end"),
			}
		}), 1, 12).Draw(rt, "steps")
		var ran map[int]int
		var err error
		synctest.Test(t, func(*testing.T) { ran, err = runSteps(steps, false) })
		must.NoError(rt, err)
		for _, n := range ran {
			must.LessEq(rt, 1, n)
		}
	})
}

// TestKeyRunsTwiceOnSeparateStores validates the check of
// TestKeyRunsAtMostOnce: daemons with separate stores run a key twice.
func TestKeyRunsTwiceOnSeparateStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran, err := runSteps([]step{{Daemon: 0, End: "answered"}, {Daemon: 1, End: "answered"}}, true)
		must.NoError(t, err)
		must.Eq(t, 2, ran[0])
	})
}

func TestWritesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registries, stores, stop := startRegistries(1, false)
		defer stop()
		stores[0].Set(faultstore.Faults{Delay: 5 * time.Millisecond})
		const claims = 200
		key := Key{Text: "x"}
		s := registries[0].shardOf(key.digest())
		results := make(chan result, claims)
		for i := range claims {
			o := operation{key: digest(fmt.Sprint(i)), claim: Claim{ID: fmt.Sprint(i), Until: time.Now().Add(time.Hour)}, kind: opAcquire, done: results}
			s.enqueue(o)
		}
		for range claims {
			must.NoError(t, (<-results).err)
		}
		must.LessEq(t, 2, stores[0].Counts()["claims"].Writes)
	})
}

// TestClaimWritesStayWithinStoreRate lets eight daemons claim and settle 40 keys
// a second in total for 20 s against a store that accepts 100 writes a second.
func TestClaimWritesStayWithinStoreRate(t *testing.T) {
	const daemons, claims, writes = 8, 800, 100
	synctest.Test(t, func(t *testing.T) {
		store := faultstore.New(memstore.New(clock.NewRuntime()))
		store.Set(faultstore.Faults{Delay: 5 * time.Millisecond, WritesPerSecond: writes})
		ctx, cancel := context.WithCancel(t.Context())
		var run, wait sync.WaitGroup
		var refused atomic.Int64
		registries := make([]*Registry, daemons)
		for i := range registries {
			registries[i] = New(Options{Store: store, Log: slog.New(slog.DiscardHandler), WritesPerSecond: writes / daemons})
			run.Go(func() { _ = registries[i].Run(ctx) })
		}
		for i := range claims {
			wait.Go(func() {
				active, _, err := registries[i%daemons].Claim(Key{Text: fmt.Sprint(i)}, "f", time.Now().Add(time.Minute))
				if err != nil {
					refused.Add(1)
					return
				}
				time.Sleep(20 * time.Millisecond)
				active.Answered(Response{Status: 200})
			})
			time.Sleep(25 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(5 * time.Second)
		counts := store.Counts()["claims"]
		t.Logf("refused %d of %d, %d writes, %d reads", refused.Load(), claims, counts.Writes, counts.Reads)
		must.Eq(t, 0, refused.Load())
		cancel()
		run.Wait()
	})
}

func TestClaimsExpireOnlyAfterDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	first := operation{key: "k", kind: opAcquire, claim: Claim{ID: "1", Until: now.Add(time.Minute)}}
	second := operation{key: "k", kind: opAcquire, claim: Claim{ID: "2", Until: now.Add(time.Hour)}}
	d, _ := (&Document{}).apply([]operation{first}, now)
	d, results := d.apply([]operation{second}, now.Add(time.Minute))
	must.NotNil(t, results[0].existing)
	_, results = d.apply([]operation{second}, now.Add(time.Minute+1))
	must.Nil(t, results[0].existing)
	for i := range maxClaims {
		o := operation{key: digest(fmt.Sprint(i)), kind: opAcquire, claim: Claim{ID: "x", Until: now.Add(time.Hour)}}
		d, results = d.apply([]operation{o}, now)
	}
	must.ErrorIs(t, results[0].err, errShardFull)
}
