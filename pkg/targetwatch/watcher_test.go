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

// board joins the watchers of a test: what one publishes all hold at once.
type board struct {
	mu    sync.Mutex
	items map[dissemination.Life]map[dissemination.Key]dissemination.StoredItem
	// silent stops what is published from arriving.
	silent bool
}

type onBoard struct {
	*board
	life dissemination.Life
}

func (b onBoard) Publish(key dissemination.Key, value any, _ bool) error {
	data, err := peer.EncodeCompact(value)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent {
		return err
	}
	if b.items[b.life] == nil {
		b.items[b.life] = make(map[dissemination.Key]dissemination.StoredItem)
	}
	now := time.Now()
	b.items[b.life][key] = dissemination.StoredItem{Life: b.life, Name: key.Name, Value: data, At: now, HeardAt: now}
	return err
}

func (b onBoard) Withdraw(key dissemination.Key) { delete(b.items[b.life], key) }

func (b onBoard) Items(section dissemination.Section) []dissemination.StoredItem {
	var found []dissemination.StoredItem
	for life, items := range b.items {
		for key, item := range items {
			item.Own = life == b.life
			if key.Section == section {
				found = append(found, item)
			}
		}
	}
	return found
}

type members []membership.Member

func (m members) Members() []membership.Member { return m }

type holds config.Holds

func (h *holds) CurrentHolds() *config.Holds { return (*config.Holds)(h) }

// countingTarget is an engine that counts the questions on its load.
func countingTarget(t *testing.T, asked *int) external.TargetRecord {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			*asked++
			must.NoError(t, json.NewEncoder(w).Encode(fleet.LoadReport{Sequence: uint64(*asked), Running: 5, Slots: 16}))
			return
		}
		must.NoError(t, json.NewEncoder(w).Encode([]fleet.CacheEvent{{Sequence: 1, Block: 9}}))
	}))
	t.Cleanup(server.Close)
	return external.TargetRecord{Target: "engine-1", Address: strings.TrimPrefix(server.URL, "http://"), Model: "m"}
}

func TestOneDaemonReadsForAll(t *testing.T) {
	asked := 0
	orderer := targets.New(countingTarget(t, &asked))
	b := &board{items: make(map[dissemination.Life]map[dissemination.Key]dissemination.StoredItem)}
	hosts := []ident.Host{"a", "b", "c", "d"}
	held := new(holds)
	var watchers []*Watcher
	events := 0
	for _, self := range hosts {
		var others members
		for _, host := range hosts {
			if host != self {
				others = append(others, membership.Member{Host: host, Status: membership.Alive})
			}
		}
		watchers = append(watchers, NewShared(Options{
			Self: self, Orderer: orderer, Spread: onBoard{b, dissemination.Life{Host: self, Incarnation: 1}}, Members: others,
			Holds: held, Client: http.DefaultClient, Every: time.Hour,
			Events: func(_ ident.Target, batch []fleet.CacheEvent) { events += len(batch) },
		}))
	}
	// Every host's view starts too old, so the first round reads more than once.
	for range 2 {
		for _, w := range watchers {
			w.step(context.Background())
		}
	}
	must.Positive(t, events)
	before := asked
	for _, w := range watchers {
		w.step(context.Background())
		state := w.Snapshot().Target("engine-1")
		must.Eq(t, 5, state.Load.Running)
		must.False(t, state.SeenAt.IsZero())
		must.False(t, state.LoadAt.IsZero())
		must.False(t, state.Draining)
	}
	must.Eq(t, before+1, asked)
	held.Targets = []config.Hold{{Target: "engine-1"}}
	for _, w := range watchers {
		w.step(context.Background())
		must.True(t, w.Snapshot().Target("engine-1").Draining)
	}
	// Without news from peers every daemon reads for itself.
	b.silent = true
	clear(b.items)
	before = asked
	for _, w := range watchers {
		w.loads = make(map[ident.Target]ownLoad)
		w.listedAt = time.Time{}
		w.step(context.Background())
	}
	must.Eq(t, before+len(hosts), asked)
}

func TestQuantiseKeepsSmallFiguresAndAnEighth(t *testing.T) {
	for n := range 100000 {
		q := quantise(n)
		must.LessEq(t, n, q)
		must.LessEq(t, n/8, n-q)
		if n < 16 {
			must.Eq(t, n, q)
		}
	}
}
