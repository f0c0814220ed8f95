package targetwatch

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/standin/targets"
)

// sharedItems holds what the watchers of a test publish. All of them see it at
// once.
type sharedItems struct {
	mu    sync.Mutex
	items map[dissemination.Instance]map[dissemination.Key]dissemination.StoredItem
	// dropPublished drops new items.
	dropPublished bool
}

type memoryDissemination struct {
	*sharedItems
	publisher dissemination.Instance
}

func (d memoryDissemination) Publish(key dissemination.Key, value any, _ bool) error {
	data, err := peer.EncodeCompact(value)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dropPublished {
		return err
	}
	if d.items[d.publisher] == nil {
		d.items[d.publisher] = make(map[dissemination.Key]dissemination.StoredItem)
	}
	now := time.Now()
	d.items[d.publisher][key] = dissemination.StoredItem{Instance: d.publisher, Name: key.Name, Value: data, At: now, LastSeenAt: now}
	return err
}

func (d memoryDissemination) Withdraw(key dissemination.Key) { delete(d.items[d.publisher], key) }

func (d memoryDissemination) Items(section dissemination.Section) []dissemination.StoredItem {
	var found []dissemination.StoredItem
	for publisher, items := range d.items {
		for key, item := range items {
			item.Own = publisher == d.publisher
			if key.Section == section {
				found = append(found, item)
			}
		}
	}
	return found
}

type fixedMembers []membership.Member

func (m fixedMembers) Members() []membership.Member { return m }

type fixedHolds config.Holds

func (h *fixedHolds) CurrentHolds() *config.Holds { return (*config.Holds)(h) }

// countingTarget starts an engine that counts the requests for its load.
func countingTarget(t *testing.T, loadRequests *int) external.TargetRecord {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			*loadRequests++
			must.NoError(t, json.NewEncoder(w).Encode(fleet.LoadReport{Sequence: uint64(*loadRequests), Running: 5, Slots: 16}))
			return
		}
		must.NoError(t, json.NewEncoder(w).Encode([]fleet.CacheEvent{{Sequence: 1, Block: 9}}))
	}))
	t.Cleanup(server.Close)
	return external.TargetRecord{Target: "engine-1", Address: strings.TrimPrefix(server.URL, "http://"), Model: "m"}
}

func TestOneDaemonReadsForAll(t *testing.T) {
	loadRequests := 0
	orderer := targets.New(countingTarget(t, &loadRequests))
	shared := &sharedItems{items: make(map[dissemination.Instance]map[dissemination.Key]dissemination.StoredItem)}
	hosts := []ident.Host{"a", "b", "c", "d"}
	held := new(fixedHolds)
	var watchers []*Watcher
	events := 0
	for _, self := range hosts {
		var others fixedMembers
		for _, host := range hosts {
			if host != self {
				others = append(others, membership.Member{Host: host, Status: membership.Alive})
			}
		}
		watchers = append(watchers, NewShared(Options{
			Self: self, Orderer: orderer, Dissemination: memoryDissemination{shared, dissemination.Instance{Host: self, Incarnation: 1}}, Members: others,
			Holds: held, Client: http.DefaultClient, ReadInterval: time.Hour,
			Events: func(_ ident.Target, batch []fleet.CacheEvent) { events += len(batch) },
		}))
	}
	// The view of every host starts stale, so the first round reads more than once.
	for range 2 {
		for _, w := range watchers {
			w.step(context.Background())
		}
	}
	must.Positive(t, events)
	before := loadRequests
	for _, w := range watchers {
		w.step(context.Background())
		state := w.Snapshot().Target("engine-1")
		must.Eq(t, 5, state.Load.Running)
		must.False(t, state.SeenAt.IsZero())
		must.False(t, state.LoadAt.IsZero())
		must.False(t, state.Draining)
	}
	must.Eq(t, before+1, loadRequests)
	held.Targets = []config.Hold{{Target: "engine-1"}}
	for _, w := range watchers {
		w.step(context.Background())
		must.True(t, w.Snapshot().Target("engine-1").Draining)
	}
	// Without items from peers every daemon reads everything itself.
	shared.dropPublished = true
	clear(shared.items)
	before = loadRequests
	for _, w := range watchers {
		w.loads = make(map[ident.Target]loadReading)
		w.listedAt = time.Time{}
		w.step(context.Background())
	}
	must.Eq(t, before+len(hosts), loadRequests)
}

func TestQuantizeIsExactBelow16AndWithinAnEighth(t *testing.T) {
	for n := range 100000 {
		q := quantize(n)
		must.LessEq(t, n, q)
		must.LessEq(t, n/8, n-q)
		if n < 16 {
			must.Eq(t, n, q)
		}
	}
}
