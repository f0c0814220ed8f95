package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// BenchmarkSlopeTable measures one heartbeat period by the number of members: a
// tick, a gossip from each neighbor, and the bytes that are sent.
func BenchmarkSlopeTable(b *testing.B) {
	for _, size := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			now := time.Unix(0, 0)
			table := NewTable(Record{Host: "host-000", Incarnation: 1}, DefaultTiming(), rand.New(rand.NewPCG(1, 1)))
			var hosts []ident.Host
			for i := 1; i < size; i++ {
				host := ident.Host(fmt.Sprintf("host-%03d", i))
				hosts = append(hosts, host)
				table.Merge(now, Record{Host: host, Incarnation: 1, Address: "10.0.0.1:9000"})
			}
			neighbors := Neighbors("host-000", hosts, DefaultDegree)
			for range announcementsPerChange {
				table.Tick(now, Heartbeat{}, neighbors)
			}
			digest := table.digest()
			sent := 0
			for b.Loop() {
				sent = 0
				for _, e := range table.Tick(now, Heartbeat{Revision: 9, HoldsRevision: 9}, neighbors) {
					data, _ := peer.EncodeCompact(&e.Gossip)
					sent += len(data)
				}
				for _, host := range neighbors {
					table.Receive(now, &Gossip{From: Heartbeat{Host: host, Incarnation: 1}, Digest: digest})
				}
			}
			b.ReportMetric(float64(sent), "sent-B/period")
		})
	}
}
