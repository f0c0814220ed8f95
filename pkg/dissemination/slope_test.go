package dissemination

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// slopeLength is the simulated time that is measured.
const slopeLength = 10 * time.Second

// heap returns the heap bytes in use after a garbage collection.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkSlopeNode measures one daemon's node by the size of the fleet:
// processor time per second, encoding included, memory and bytes sent.
func BenchmarkSlopeNode(b *testing.B) {
	for _, size := range []int{8, 64, 128, 330} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := newFleet(size, StrategyFor(size, 8), 1)
				f.run(slopeLength)
				for _, n := range f.nodes {
					n.sent = 0
				}
				f.createdAt = make(map[bundleID]time.Time)
				began := time.Now()
				f.run(slopeLength)
				spent := time.Since(began)
				f.createdAt, f.inFlight = nil, nil
				after := heap()
				sent := 0
				for _, n := range f.nodes {
					sent += n.sent
				}
				seconds := slopeLength.Seconds() * float64(size)
				b.ReportMetric(float64(spent.Microseconds())/seconds, "µs/daemon-s")
				b.ReportMetric(float64(after-before)/float64(size), "heap-B/daemon")
				b.ReportMetric(float64(sent)/seconds, "sent-B/daemon-s")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkSlopeFrame measures encoding and decoding a frame by its number of
// bundles.
func BenchmarkSlopeFrame(b *testing.B) {
	for _, bundles := range []int{1, 8, 32} {
		b.Run(fmt.Sprint(bundles), func(b *testing.B) {
			var frame Frame
			for i := range bundles {
				items := []Item{{ID: 3, Value: []byte{1, 2, 3, 4, 5}}, {ID: 9, Value: []byte{9, 8, 7}}}
				frame.Bundles = append(frame.Bundles, Bundle{Origin: OriginID(1<<30 + i), Version: 1000, Items: items})
			}
			var data []byte
			for b.Loop() {
				data, _ = peer.EncodeCompact(frame)
				var got Frame
				if err := peer.Decode(data, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "frame-B")
		})
	}
}

// BenchmarkSlopeSums measures the memory of consumption sums, in the node and in
// the ledger, by the number of origins and of workspaces in each.
func BenchmarkSlopeSums(b *testing.B) {
	for _, size := range [][2]int{{8, 8}, {64, 64}, {330, 310}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				n := NewNode(Instance{"self", 1}, Flat{}, TimingFor(size[0]), nil)
				l := NewLedger(Instance{"self", 1})
				for i := range size[0] {
					instance := Instance{ident.Host(fmt.Sprintf("host-%d", i)), 1}
					bundle := Bundle{Origin: instance.ID(), Version: 1}
					for j := range size[1] {
						name := fmt.Sprintf("workspace-%d", j)
						value := Consumption{uint64(1000 + j), uint64(100000 + j)}.encode()
						bundle.Items = append(bundle.Items, Item{ItemID(j + 1), SectionConsumption, name, value})
						l.Merge(instance, Sum{ident.Workspace(name), Consumption{1, 1}})
					}
					n.receiveBundle(time.Unix(0, 0), "", &bundle)
					n.pendingBundles = nil
				}
				b.ReportMetric(float64(heap()-before), "heap-B")
				runtime.KeepAlive(n)
				runtime.KeepAlive(l)
			}
		})
	}
}
