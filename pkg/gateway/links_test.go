package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// TestPeersWithoutAddressAreLeftOut checks that a daemon that announced no address
// is neither in the topology nor linked.
func TestPeersWithoutAddressAreLeftOut(t *testing.T) {
	members := []membership.Member{
		{Host: "a", FailureDomain: "x", Address: "1"}, {Host: "b", FailureDomain: "x"}, {Host: "c", FailureDomain: "y", Address: "3"},
	}
	topology := topologyOf(backlog.Daemon{Host: "self", FailureDomain: "x"}, members)
	must.Eq(t, []ident.Host{"a", "c"}, topology.Neighbors)
	must.Eq(t, []peer.Address{{Host: "a", Address: "1"}, {Host: "c", Address: "3"}}, peerAddresses(topology.Hosts(), members))
}
