package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/peer"
)

// FuzzGossip passes arbitrary bytes of a peer to a table, whose own record must
// keep its host.
func FuzzGossip(f *testing.F) {
	whole, err := peer.EncodeCompact(&Gossip{From: Heartbeat{Host: "b", Incarnation: 1}})
	must.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		gossip := new(Gossip)
		if peer.Decode(data, gossip) != nil {
			return
		}
		table := NewTable(Record{Host: "a", Incarnation: 1}, DefaultTiming(), rand.New(rand.NewPCG(1, 2)))
		_, _ = table.Receive(time.Unix(1000, 0), gossip)
		must.Eq(t, "a", table.Self().Host)
	})
}
