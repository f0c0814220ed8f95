package prefix

import (
	"fmt"
	"runtime"
	"testing"

	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// cacheBlocks is the number of blocks that an engine's cache holds.
const cacheBlocks = 2000

// BenchmarkSlopeIndex fills an index with the caches of engines that hold half
// shared and half unique blocks, and reports its size.
func BenchmarkSlopeIndex(b *testing.B) {
	for _, engines := range []int{8, 26, 104, MaxEngines} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var x *Index
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				x = New()
				for e := range engines {
					fill(x, e)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/index")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*engines*cacheBlocks), "ns/event")
			runtime.KeepAlive(x)
		})
	}
}

// fill applies the cache events of one engine with a full cache.
func fill(x *Index, engine int) {
	name := ident.Target(fmt.Sprintf("e%d", engine))
	for i := range cacheBlocks {
		block := uint64(i)
		if i >= cacheBlocks/2 {
			block += uint64(engine+1) * cacheBlocks
		}
		x.Apply(name, fleet.CacheEvent{Sequence: uint64(i) + 1, Block: block})
	}
}
