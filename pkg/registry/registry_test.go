package registry

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

var start = time.Unix(1000, 0)

// written is an entry as the tests write it.
type written struct {
	Name    string
	Life    uint64
	Leaving bool
}

// entry returns the entry in the store.
func (w written) entry() external.Entry {
	value, _ := json.Marshal(w)
	return external.Entry{Key: external.Key("t/" + w.Name), Value: value}
}

// newRegistry returns a registry that reads such entries.
func newRegistry() *Registry {
	return New(Options{Prefix: "t/", Log: slog.New(slog.DiscardHandler), Decode: func(entry external.Entry) (Announcement, bool) {
		var w written
		if json.Unmarshal(entry.Value, &w) != nil || w.Name == "" {
			return Announcement{}, false
		}
		record := external.TargetRecord{Target: ident.Target(w.Name), Service: "s", Leaving: w.Leaving}
		return Announcement{Record: record, Incarnation: ident.Incarnation(w.Life), Role: fleet.Mixed, Slots: 4}, true
	}})
}

// names returns the targets of the view.
func names(r *Registry) (list []string) {
	for _, state := range r.Snapshot().Targets {
		list = append(list, string(state.Record.Target))
	}
	return list
}

func gone(name string) external.Entry {
	return external.Entry{Key: external.Key("t/" + name), Deleted: true}
}

func TestViewFollowsTheEntries(t *testing.T) {
	r := newRegistry()
	must.False(t, r.Loaded())
	r.Apply([]external.Entry{written{Name: "b"}.entry(), written{Name: "a"}.entry()}, true, start)
	must.True(t, r.Loaded())
	must.Eq(t, []string{"a", "b"}, names(r))
	before := r.Snapshot()
	r.Apply([]external.Entry{written{Name: "a"}.entry()}, false, start)
	must.True(t, before == r.Snapshot(), must.Sprint("a heartbeat changes nothing"))
	r.Apply([]external.Entry{written{Name: "a", Leaving: true}.entry(), gone("b")}, false, start)
	must.Eq(t, []string{"a"}, names(r))
	must.True(t, r.Snapshot().Targets[0].Record.Leaving)
	r.Apply([]external.Entry{written{Name: "a", Life: 2}.entry()}, false, start)
	must.Eq(t, ident.Incarnation(2), r.Snapshot().Targets[0].Incarnation)
	r.Apply(nil, true, start)
	must.SliceEmpty(t, names(r), must.Sprint("what a whole list lacks is gone"))
}

func TestUnreadableEntryNamesNoTargetAndHarmsNone(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{written{Name: "a"}.entry(), {Key: "t/x", Value: []byte("{")}, written{Name: "b"}.entry()}, true, start)
	must.Eq(t, []string{"a", "b"}, names(r))
	r.Apply([]external.Entry{{Key: "t/a", Value: []byte("?")}}, false, start)
	must.Eq(t, []string{"b"}, names(r))
}

// TestLapsedEntriesAreWaitedForAfterAnOutage drops entries while the store can't
// be read: a live target's comes back within the grace, a dead one's does not,
// and one that was leaving is gone at once.
func TestLapsedEntriesAreWaitedForAfterAnOutage(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{written{Name: "alive"}.entry(), written{Name: "dead"}.entry(), written{Name: "leaving", Leaving: true}.entry()}, true, start)
	r.Outage(start, time.Time{})
	back := start.Add(5 * time.Second)
	r.Outage(start, back)
	r.Apply(nil, true, back)
	must.Eq(t, []string{"alive", "dead"}, names(r))
	r.Apply([]external.Entry{written{Name: "alive"}.entry()}, false, back.Add(time.Second))
	r.Apply(nil, false, back.Add(returnGrace-time.Millisecond))
	must.Eq(t, []string{"alive", "dead"}, names(r))
	r.Apply(nil, false, back.Add(returnGrace))
	must.Eq(t, []string{"alive"}, names(r))
	r.Apply([]external.Entry{gone("alive")}, false, back.Add(returnGrace+time.Second))
	must.SliceEmpty(t, names(r), must.Sprint("no grace is left"))
}
