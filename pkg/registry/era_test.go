package registry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// in returns the entry as read in an era of the store.
func in(era external.Era, revision uint64, e testEntry) external.Entry {
	entry := e.entry()
	entry.Version = external.NewVersion(era, revision)
	return entry
}

// riseWith applies a complete list that was read after the store came back from an older
// copy, as a mirror does.
func riseWith(r *Registry, now time.Time, entries ...external.Entry) {
	r.Outage(now, now)
	r.Apply(entries, true, now)
}

// leavingNames returns the names of the targets in the view that are leaving.
func leavingNames(r *Registry) (list []string) {
	for _, state := range r.Snapshot().Targets {
		if state.Record.Leaving {
			list = append(list, string(state.Record.Target))
		}
	}
	return list
}

// TestEntriesMissingAfterRiseAreKept guards against a mass removal, and with it orders to
// replace the targets, when the store comes back without their entries.
func TestEntriesMissingAfterRiseAreKept(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{in(0, 1, testEntry{Name: "a"}), in(0, 2, testEntry{Name: "b"}), in(0, 3, testEntry{Name: "c"})}, true, start)
	riseWith(r, start, in(1, 1, testEntry{Name: "a"}))
	must.Eq(t, []string{"a", "b", "c"}, targetNames(r))
	r.Apply([]external.Entry{in(1, 2, testEntry{Name: "b"})}, false, start.Add(time.Second))
	r.Apply(nil, false, start.Add(outageGrace+time.Millisecond))
	must.Eq(t, []string{"a", "b"}, targetNames(r), must.Sprint("what isn't written again is gone"))
}

// TestLeavingTargetStaysLeavingAfterRise guards against requests to a target that was
// marked as leaving after the copy was taken, also if its entry had been removed.
func TestLeavingTargetStaysLeavingAfterRise(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{
		in(0, 1, testEntry{Name: "a", Incarnation: 7, Leaving: true}), in(0, 2, testEntry{Name: "b", Incarnation: 7, Leaving: true}),
	}, true, start)
	r.Apply([]external.Entry{deletedEntry("b")}, false, start)
	riseWith(r, start, in(1, 1, testEntry{Name: "a", Incarnation: 7}), in(1, 2, testEntry{Name: "b", Incarnation: 7}))
	must.Eq(t, []string{"a"}, targetNames(r))
	r.Apply([]external.Entry{in(1, 3, testEntry{Name: "b", Incarnation: 7})}, false, start.Add(time.Second))
	must.Eq(t, []string{"a", "b"}, leavingNames(r))
	r.Apply([]external.Entry{in(1, 4, testEntry{Name: "a", Incarnation: 8})}, false, start.Add(time.Second))
	must.Eq(t, []string{"b"}, leavingNames(r), must.Sprint("a new incarnation is not leaving"))
}

// TestRemovedTargetStaysRemovedAfterRise guards against requests to a target whose entry
// was removed after the copy was taken, until it writes the entry again.
func TestRemovedTargetStaysRemovedAfterRise(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{in(0, 1, testEntry{Name: "a", Incarnation: 7}), in(0, 2, testEntry{Name: "b", Incarnation: 7})}, true, start)
	r.Apply([]external.Entry{deletedEntry("b")}, false, start)
	riseWith(r, start.Add(time.Second), in(1, 1, testEntry{Name: "a", Incarnation: 7}), in(1, 2, testEntry{Name: "b", Incarnation: 7}))
	must.Eq(t, []string{"a"}, targetNames(r))
	r.Apply([]external.Entry{in(1, 3, testEntry{Name: "b", Incarnation: 7})}, false, start.Add(2*time.Second))
	must.Eq(t, []string{"a", "b"}, targetNames(r))
	must.SliceEmpty(t, leavingNames(r))
}

// TestEarlierIncarnationIsNotTakenAfterRise guards against a view of what a target was
// before it restarted.
func TestEarlierIncarnationIsNotTakenAfterRise(t *testing.T) {
	r := newRegistry()
	r.Apply([]external.Entry{in(0, 1, testEntry{Name: "a", Incarnation: 8})}, true, start)
	riseWith(r, start, in(1, 1, testEntry{Name: "a", Incarnation: 7}))
	must.Eq(t, 8, int(r.Snapshot().Targets[0].Incarnation))
}

// TestRemovedTargetStaysRemovedWhenReadAgain guards against taking the entry of a removed
// target, which an older copy of the store brought back and nobody writes again, when
// all entries are read again later: in the same era, or after another rise.
func TestRemovedTargetStaysRemovedWhenReadAgain(t *testing.T) {
	for _, later := range []time.Duration{time.Second, 2 * goneMemory} {
		r := newRegistry()
		r.Apply([]external.Entry{in(0, 1, testEntry{Name: "a", Incarnation: 7}), in(0, 2, testEntry{Name: "b", Incarnation: 7})}, true, start)
		r.Apply([]external.Entry{deletedEntry("b")}, false, start)
		list := func(era external.Era) []external.Entry {
			return []external.Entry{in(era, 1, testEntry{Name: "a", Incarnation: 7}), in(era, 2, testEntry{Name: "b", Incarnation: 7})}
		}
		riseWith(r, start, list(1)...)
		r.Apply(list(1), true, start.Add(later))
		must.Eq(t, []string{"a"}, targetNames(r), must.Sprint("read again after ", later))
		riseWith(r, start.Add(2*later), list(2)...)
		must.Eq(t, []string{"a"}, targetNames(r), must.Sprint("another rise after ", later))
		r.Apply([]external.Entry{in(2, 3, testEntry{Name: "b", Incarnation: 7})}, false, start.Add(2*later))
		must.Eq(t, []string{"a", "b"}, targetNames(r), must.Sprint("written again"))
	}
}

// TestReturnedEntriesAreForgotten guards against memory that grows with each target whose
// entry an older copy of the store ever brought back.
func TestReturnedEntriesAreForgotten(t *testing.T) {
	kept := in(1, 1, testEntry{Name: "a", Incarnation: 7})
	for name, end := range map[string]func(r *Registry){
		"deleted":  func(r *Registry) { r.Apply([]external.Entry{deletedEntry("b")}, false, start.Add(time.Second)) },
		"unlisted": func(r *Registry) { r.Apply([]external.Entry{kept}, true, start.Add(time.Second)) },
	} {
		r := newRegistry()
		r.Apply([]external.Entry{in(0, 1, testEntry{Name: "a", Incarnation: 7}), in(0, 2, testEntry{Name: "b", Incarnation: 7})}, true, start)
		r.Apply([]external.Entry{deletedEntry("b")}, false, start)
		riseWith(r, start, kept, in(1, 2, testEntry{Name: "b", Incarnation: 7}))
		r.Apply(nil, false, start.Add(2*goneMemory))
		must.MapLen(t, 1, r.gone, must.Sprint(name))
		end(r)
		r.Apply(nil, false, start.Add(4*goneMemory))
		must.MapEmpty(t, r.gone, must.Sprint(name))
	}
}
