package burn

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

type noConfig struct{}

func (noConfig) Current() *config.Snapshot { return nil }

// responseLosingStore loses the response to every other compare-and-swap after
// it took effect.
type responseLosingStore struct {
	external.Store
	swaps int
}

func (s *responseLosingStore) CompareAndSwap(ctx context.Context, swap external.Swap) (external.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, swap)
	if s.swaps++; s.swaps%2 == 1 {
		return 0, external.ErrStoreUnknown
	}
	return version, err
}

func newManager(store external.Store, host ident.Host, incarnation ident.Incarnation) (*Manager, *prometheus.Registry) {
	registry := prometheus.NewRegistry()
	return New(Options{Host: host, Incarnation: incarnation, Store: store, Config: noConfig{}, Registerer: registry}), registry
}

var now = time.Date(2030, 1, 1, 12, 34, 0, 0, time.UTC)

func TestCountsSurviveRestartsAndLostResponses(t *testing.T) {
	ctx := context.Background()
	store := &responseLosingStore{Store: memstore.New(clock.NewRuntime())}
	for incarnation := range ident.Incarnation(3) {
		m, _ := newManager(store, "a", incarnation+1)
		for i := range 100 {
			m.Record(Event{Workspace: "w", Route: "r", At: now.Add(-2 * time.Hour), Answered: i != 0, FirstToken: time.Second})
			m.Record(Event{Workspace: "w", Route: "r", At: now, Answered: true, FirstToken: time.Millisecond, TokenGap: time.Millisecond})
			m.Checkpoint(ctx, now)
		}
		m.Checkpoint(ctx, now)
	}
	reader, _ := newManager(store, "b", 1)
	report, err := reader.Report(ctx, now)
	must.NoError(t, err)
	rows := make(map[string]Row)
	for _, row := range report.Rows {
		rows[row.Objective] = row
	}
	availability := rows["availability"].Cells
	must.Eq(t, Cell{300, 0, 0}, availability[0])
	must.Eq(t, 600, availability[4].Total)
	must.Eq(t, 3, availability[4].Bad)
	// 0.5% of the requests missed against a budget of 0.1%: the burn rate is 5.
	must.InDelta(t, 5, availability[4].Rate, 1e-6)
	must.Eq(t, Cell{600, 300, rows["first-token"].Cells[3].Rate}, rows["first-token"].Cells[3])
	must.MapNotContainsKey(t, rows, "deadline")
}

func TestPagesAreEvictedAndPruned(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clock.NewRuntime())
	m, _ := newManager(store, "a", 1)
	m.Record(Event{Workspace: "w", Route: "r", At: now, Answered: true})
	m.Checkpoint(ctx, now.Add(3*time.Hour))
	must.MapEmpty(t, m.local)
	entries, err := store.List(ctx, keyPrefix)
	must.NoError(t, err)
	must.Len(t, 1, entries)
	m.Checkpoint(ctx, now.Truncate(pageLength).Add(retainedPages*pageLength))
	entries, err = store.List(ctx, keyPrefix)
	must.NoError(t, err)
	must.SliceEmpty(t, entries)
}

func TestMetricSeriesAreBounded(t *testing.T) {
	m, registry := newManager(memstore.New(clock.NewRuntime()), "a", 1)
	for w := range 310 {
		for r := range 25 {
			m.Record(Event{Workspace: ident.Workspace(fmt.Sprint(w)), Route: ident.Route(fmt.Sprint(r)), At: now})
		}
	}
	families, err := registry.Gather()
	must.NoError(t, err)
	series := 0
	for _, family := range families {
		series += len(family.GetMetric())
	}
	must.LessEq(t, 2*int(objectiveCount)+1, series)
}

// BenchmarkSlopePageBytes measures encoding a page by its number of subjects.
func BenchmarkSlopePageBytes(b *testing.B) {
	for _, subjects := range []int{8, 80, 310, 930} {
		b.Run(fmt.Sprint(subjects), func(b *testing.B) {
			slots := make(Slots)
			for i := range subjects {
				counts := Counts{{900, 3}, {900, 40}, {900, 20}, {0, 0}}
				slots.add(now, Subject{ident.Workspace(fmt.Sprintf("workspace-%d", i/3)), ident.Route(fmt.Sprintf("route-%d", i%3))}, &counts)
			}
			var page []byte
			for b.Loop() {
				page, _ = encodePage(slots)
			}
			b.ReportMetric(float64(len(page)), "page-bytes")
		})
	}
}
