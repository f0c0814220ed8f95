package prefix

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	_ "amaranthplank.example/amaranthplank/pkg/testseed"
)

func depthOf(x *Index, blocks []uint64) int {
	var depths [MaxEngines]int32
	x.Depths(blocks, depths[:])
	return int(depths[x.Slot("a")])
}

func TestDepthsMatchTheEngineWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, truth := New(), map[uint64]bool{}
		blocks := []uint64{1, 2, 3, 4, 5, 6}
		for sequence := range uint64(rapid.IntRange(1, 60).Draw(t, "events")) {
			block := rapid.SampledFrom(blocks).Draw(t, "block")
			removed := rapid.Bool().Draw(t, "removed")
			truth[block] = !removed
			x.Apply("a", fleet.CacheEvent{Sequence: sequence + 1, Block: block, Removed: removed})
		}
		want := 0
		for want < len(blocks) && truth[blocks[want]] {
			want++
		}
		must.Eq(t, want, depthOf(x, blocks))
	})
}

func TestGapMakesTheEntryStale(t *testing.T) {
	x := New()
	x.Apply("a", fleet.CacheEvent{Sequence: 1, Block: 1})
	x.Apply("b", fleet.CacheEvent{Sequence: 1, Block: 1})
	must.False(t, x.Stale(x.Slot("a")))
	x.Apply("a", fleet.CacheEvent{Sequence: 3, Block: 2})
	must.True(t, x.Stale(x.Slot("a")))
	must.False(t, x.Stale(x.Slot("b")))
	must.Eq(t, 2, depthOf(x, []uint64{1, 2}))
	for sequence := range uint64(staleEvents) {
		x.Apply("a", fleet.CacheEvent{Sequence: 4 + sequence, Block: 2, Removed: true})
	}
	must.False(t, x.Stale(x.Slot("a")))
	x.Restart("a")
	must.Eq(t, 0, depthOf(x, []uint64{1, 2}))
}

func TestLateAndRepeatedEventsAreIgnored(t *testing.T) {
	x := New()
	x.Apply("a", fleet.CacheEvent{Sequence: 5, Block: 1})
	x.Apply("a", fleet.CacheEvent{Sequence: 4, Block: 1, Removed: true})
	must.Eq(t, 1, depthOf(x, []uint64{1}))
}

func TestEntriesStayBounded(t *testing.T) {
	x := New()
	x.SetLimit("a", 8)
	for block := range uint64(1000) {
		x.RecordSent("a", []uint64{block})
	}
	must.LessEq(t, 8*overfillFactor, len(x.blocks))
	x.Forget("a")
	must.MapEmpty(t, x.blocks)
}
