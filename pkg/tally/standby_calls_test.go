package tally

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/standin/faultstore"
)

// standbyFleet is a large fleet of which the store refuses some daemons.
type standbyFleet struct {
	processes []*faultstore.Process
	standbys  []*StandbyWriter
	// calls count the calls of each daemon's standby writer.
	calls []*faultstore.Store

	mu     sync.Mutex
	random *rand.Rand
}

const (
	standbyDaemons = 40
	refusedDaemons = 14
	refusalTime    = 20 * time.Second
	// ownWrites is how often the refused daemons would have written themselves, and
	// callsPerWrite how many calls a write by another daemon may cost.
	ownWrites     = refusedDaemons * int(refusalTime/maxWriteInterval+1)
	callsPerWrite = 2
)

// startStandbyFleet starts the daemons.
func startStandbyFleet(ctx context.Context, f *fixture) *standbyFleet {
	log := slog.New(slog.DiscardHandler)
	s := &standbyFleet{random: rand.New(rand.NewPCG(1, 2))}
	for i := range standbyDaemons {
		process := faultstore.NewProcess()
		calls := faultstore.New(faultstore.NewProcessStore(process, f.store))
		standby := NewStandbyWriter(calls, log)
		standby.ForwardWith(func(message CheckpointMessage) bool { return s.handOver(i, message) })
		s.processes, s.calls, s.standbys = append(s.processes, process), append(s.calls, calls), append(s.standbys, standby)
	}
	for i, standby := range s.standbys {
		store := faultstore.NewProcessStore(s.processes[i], f.store)
		opts := f.options(ident.Host(fmt.Sprintf("host-%02d", i)))
		opts.Store, opts.Daemons = store, func() int { return 95 }
		opts.HandOver = func(message CheckpointMessage) { s.handOver(i, message) }
		counter := NewCounter(opts)
		follower := mirror.New(mirror.Options{
			Store: store, Pause: mirror.PauseFor(3 * time.Second), CallTimeout: mirror.DefaultCallTimeout, Log: log,
		}, counter, NewCheckpointMemory(standby, log))
		for _, run := range []func(context.Context) error{counter.Run, standby.Run, follower.Run} {
			go func() { _ = run(ctx) }()
		}
		time.Sleep(37 * time.Millisecond)
	}
	return s
}

// handOver hands a daemon's checkpoint to another one, as daemons with links do.
func (s *standbyFleet) handOver(from int, message CheckpointMessage) bool {
	to := 0
	if message.Refused {
		s.mu.Lock()
		to = (from + 1 + s.random.IntN(len(s.standbys)-1)) % len(s.standbys)
		s.mu.Unlock()
	}
	return to == from || s.standbys[to].Hold(message) == nil
}

// callCount returns the number of calls of the standby writers.
func (s *standbyFleet) callCount() (count int) {
	for _, store := range s.calls {
		for _, counts := range store.Counts() {
			count += int(counts.Reads + counts.Writes)
		}
	}
	return count
}

// oldestCheckpoint returns the age of the oldest stored checkpoint.
func oldestCheckpoint(f *fixture) (oldest time.Duration) {
	entries := mustList(f)
	for i := range entries {
		checkpoint, err := DecodeCheckpoint(entries[i].Value)
		must.NoError(f.t, err)
		oldest = max(oldest, f.time.Now().Sub(checkpoint.Through))
	}
	return oldest
}

// TestRefusedDaemonsCostFewCalls guards against standby writers that read and write each
// checkpoint of each second, also those that the store refuses too and those whose
// daemons have written newer ones: such calls are counted by the platform. All counts
// must still be there when a window is closed without those that are missing.
func TestRefusedDaemonsCostFewCalls(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		s := startStandbyFleet(ctx, f)
		time.Sleep(10 * time.Second)
		must.Zero(t, s.callCount(), must.Sprint("while nobody is refused"))
		for _, process := range s.processes[1 : 1+refusedDaemons] {
			process.SetPartitioned(faultstore.SideStore, true)
		}
		for range refusalTime / time.Second {
			time.Sleep(time.Second)
			must.LessEq(t, 10*time.Second-reportReserve, oldestCheckpoint(f))
		}
		for _, process := range s.processes {
			process.SetPartitioned(faultstore.SideStore, false)
		}
		time.Sleep(10 * time.Second)
		must.LessEq(t, callsPerWrite*ownWrites, s.callCount())
		must.Eq(t, standbyDaemons, len(mustList(f)))
	})
}

// mustList returns the stored checkpoints.
func mustList(f *fixture) []external.Entry {
	entries, err := f.store.List(f.t.Context(), CheckpointPrefix)
	must.NoError(f.t, err)
	return entries
}
