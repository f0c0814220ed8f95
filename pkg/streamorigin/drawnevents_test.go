package streamorigin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// write writes a target's entry, or removes it if the target has gone.
func (o *drawnOrder) write(name string) {
	key := entriesPrefix + external.Key(name)
	base := external.NoVersion
	if entry, err := o.memory.Get(o.t.Context(), key); err == nil {
		base = entry.Version
	}
	target := o.targets[name]
	if target == nil {
		if base != external.NoVersion {
			must.NoError(o.t, o.memory.Delete(o.t.Context(), key, base))
		}
		return
	}
	_, err := o.memory.CompareAndSwap(o.t.Context(), external.Swap{Key: key, Value: []byte(target.pool.String() + " " + string(target.version)), Base: base})
	must.NoError(o.t, err)
}

// add starts a target of a version.
func (o *drawnOrder) add(pool ident.Pool, version ident.SoftwareVersion) {
	o.named++
	name := fmt.Sprint("target-", o.named)
	o.targets[name] = &drawnTarget{name: name, pool: pool, version: version}
	o.write(name)
}

// drawVersion returns a random version.
func (o *drawnOrder) drawVersion() ident.SoftwareVersion {
	return ident.SoftwareVersion(fmt.Sprint("v", o.random.IntN(3)))
}

// removeRandom removes a random target.
func (o *drawnOrder) removeRandom() {
	names := slices.Sorted(keysOf(o.targets))
	if len(names) > 0 {
		o.remove(names[o.random.IntN(len(names))])
	}
}

// remove ends a target, whose entry is removed.
func (o *drawnOrder) remove(name string) {
	delete(o.targets, name)
	o.write(name)
}

// release starts targets of a version in a pool, and removes the others of the pool after at most
// the given time.
func (o *drawnOrder) release(within time.Duration) {
	pool, version := drawnPools[o.random.IntN(2)], o.drawVersion()
	for _, name := range slices.Sorted(keysOf(o.targets)) {
		if target := o.targets[name]; target.pool == pool && target.version != version {
			o.later(within, func() { o.remove(name) })
		}
	}
	o.add(pool, version)
	o.add(pool, version)
	if o.random.IntN(2) == 0 {
		o.putOutOfStep(o.random.IntN(len(o.daemons)))
	}
}

// putOutOfStep cuts a daemon off from changes of the store, and perhaps from others, for some time.
func (o *drawnOrder) putOutOfStep(place int) {
	d := o.daemons[place]
	if d == nil {
		return
	}
	d.store.deaf.Store(true)
	d.cut = o.random.IntN(2) == 0
	o.later(3*time.Second, func() { d.cut = false })
	o.later(3*time.Second, func() { d.store.deaf.Store(false) })
}

// later does something at a step within the given time.
func (o *drawnOrder) later(within time.Duration, do func()) {
	o.pending = append(o.pending, pendingEvent{at: time.Now().Add(time.Duration(o.random.Int64N(int64(within)))), do: do})
}

// doPending does what is due.
func (o *drawnOrder) doPending() {
	now, pending := time.Now(), o.pending
	o.pending = nil
	for _, event := range pending {
		if event.at.After(now) {
			o.pending = append(o.pending, event)
			continue
		}
		event.do()
	}
}

// keysOf returns the names of targets.
func keysOf(targets map[string]*drawnTarget) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range targets {
			if !yield(name) {
				return
			}
		}
	}
}

// disturb makes one random change of targets, daemons, links, store and configuration. What is
// cut off or away is back within some seconds.
func (o *drawnOrder) disturb() {
	place := o.random.IntN(len(o.daemons))
	switch kind := o.random.IntN(16); {
	case kind < 4:
		o.release(2 * time.Second)
	case kind < 5:
		o.add(drawnPools[o.random.IntN(2)], o.drawVersion())
	case kind < 6:
		o.removeRandom()
	case kind < 9:
		o.kill(place)
	case kind < 11:
		o.putOutOfStep(place)
	case kind == 11:
		o.store.away.Store(true)
		o.later(2*time.Second, func() { o.store.away.Store(false) })
	case kind < 14:
		o.timeout.Store(int64(1+o.random.IntN(6)) * int64(time.Second))
	case kind == 14:
		o.drill()
	case kind == 15 && o.random.IntN(4) == 0:
		for place := range o.daemons {
			o.kill(place)
		}
	}
}

// kill ends the daemon of a place, if it runs.
func (o *drawnOrder) kill(place int) {
	if d := o.daemons[place]; d != nil {
		d.cancel()
		o.daemons[place] = nil
	}
}

// drill has the store come back from a copy if there is one, or makes one. The targets write
// their entries again.
func (o *drawnOrder) drill() {
	if o.copied == nil {
		o.copied = o.memory.Snapshot()
		return
	}
	o.memory.Restore(o.copied)
	o.copied = nil
	entries, err := o.memory.List(o.t.Context(), entriesPrefix)
	must.NoError(o.t, err)
	for i := range entries {
		o.write(strings.TrimPrefix(string(entries[i].Key), string(entriesPrefix)))
	}
	o.writeAll()
}

// writeAll has all targets write their entries.
func (o *drawnOrder) writeAll() {
	for _, name := range slices.Sorted(keysOf(o.targets)) {
		o.write(name)
	}
}
