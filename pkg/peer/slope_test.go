package peer

import (
	"fmt"
	"runtime"
	"testing"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// BenchmarkSlopeLinks measures the memory per open link by the number of links,
// including both ends and the buffers of the network library.
func BenchmarkSlopeLinks(b *testing.B) {
	for _, count := range []int{1, 4, 8, 16} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				var spokes []*runningManager
				hub := startManager(b, "a", 1, "127.0.0.1:0", "s")
				var peers []Address
				for i := range count {
					spoke := startManager(b, ident.Host(fmt.Sprintf("b%02d", i)), 1, "127.0.0.1:0", "s")
					spokes = append(spokes, spoke)
					peers = append(peers, Address{spoke.opts.Host, spoke.address})
				}
				idle := memoryInUse()
				hub.SetPeers(peers)
				for len(hub.Linked()) < count {
					runtime.Gosched()
				}
				b.ReportMetric(float64(memoryInUse()-idle)/float64(count), "B/link")
				b.ReportMetric(float64(idle-before)/float64(count+1), "B/manager")
				hub.stop()
				for _, spoke := range spokes {
					spoke.stop()
				}
			}
		})
	}
}

// BenchmarkSlopeMessage measures the cost of sending and receiving a message by
// its size.
func BenchmarkSlopeMessage(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			hub, spoke := startManager(b, "a", 1, "127.0.0.1:0", "s"), startManager(b, "b00", 1, "127.0.0.1:0", "s")
			defer hub.stop()
			defer spoke.stop()
			hub.SetPeers([]Address{{"b00", spoke.address}})
			for len(hub.Linked()) == 0 {
				runtime.Gosched()
			}
			message := Message{Kind: KindState, Version: KnownVersion, Payload: make([]byte, size)}
			for b.Loop() {
				if err := hub.Send("b00", message); err != nil {
					b.Fatal(err)
				}
				<-spoke.received
			}
		})
	}
}

func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
