package peer

import (
	"fmt"
	"runtime"
	"testing"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// BenchmarkSlopeLinks shows what open links hold in memory, both ends of each
// and the buffers of the network library included, by their number.
func BenchmarkSlopeLinks(b *testing.B) {
	for _, count := range []int{1, 4, 8, 16} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := inUse()
				var nodes []*node
				hub := start(b, "a", 1, "127.0.0.1:0", "s")
				var peers []Address
				for i := range count {
					n := start(b, ident.Host(fmt.Sprintf("b%02d", i)), 1, "127.0.0.1:0", "s")
					nodes = append(nodes, n)
					peers = append(peers, Address{n.opts.Host, n.address})
				}
				idle := inUse()
				hub.SetPeers(peers)
				for len(hub.Linked()) < count {
					runtime.Gosched()
				}
				b.ReportMetric(float64(inUse()-idle)/float64(count), "B/link")
				b.ReportMetric(float64(idle-before)/float64(count+1), "B/manager")
				hub.stop()
				for _, n := range nodes {
					n.stop()
				}
			}
		})
	}
}

// BenchmarkSlopeMessage shows what a message costs from end to end by its size.
func BenchmarkSlopeMessage(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			hub, n := start(b, "a", 1, "127.0.0.1:0", "s"), start(b, "b00", 1, "127.0.0.1:0", "s")
			defer hub.stop()
			defer n.stop()
			hub.SetPeers([]Address{{"b00", n.address}})
			for len(hub.Linked()) == 0 {
				runtime.Gosched()
			}
			message := Message{Kind: KindState, Version: KnownVersion, Payload: make([]byte, size)}
			for b.Loop() {
				if err := hub.Send("b00", message); err != nil {
					b.Fatal(err)
				}
				<-n.got
			}
		})
	}
}

func inUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
