package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// TestRiseReachesLinkedDaemons guards against a daemon that is cut off from the store and
// goes on with authority that the store has lost: it learns of the rise from a daemon that
// has read the store.
func TestRiseReachesLinkedDaemons(t *testing.T) {
	store := memstore.New(clock.Boot{})
	reader, _ := linkedGateway(t, "a", store)
	cutOff, address := linkedGateway(t, "b", store)
	reader.links.Load().SetPeers([]peer.Address{{Host: "b", Address: address}})
	eventually(t, func() bool { return len(reader.links.Load().Linked()) == 1 })
	_, err := reader.store.List(t.Context(), "")
	must.NoError(t, err)
	store.Restore(store.Snapshot())
	_, err = reader.store.List(t.Context(), "")
	must.NoError(t, err)
	eventually(t, func() bool {
		era, _ := cutOff.store.Era()
		return era == external.Era(1)
	})
}
