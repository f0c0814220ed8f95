package prefix

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// overfill is how many times its memory's limit an engine's entry may grow to
// before it is taken to be wrong and dropped.
const overfill = 2

// staleEvents is how many events after a gap an entry counts as stale.
const staleEvents = 128

// Index tells how much of a prompt each engine holds. It is not safe for
// concurrent use.
type Index struct {
	engines map[ident.Target]int
	state   []engineState
	blocks  map[uint64]Set
	free    []int
}

// engineState is what the index knows of one engine.
type engineState struct {
	target ident.Target
	// next is the sequence number that the next event must bear; zero while
	// none has come.
	next uint64
	// held counts the blocks whose set has the engine.
	held int
	// limit is the greatest held; zero sets none.
	limit int
	// stale counts the events until the engine's entry is trusted again after
	// a gap: by then most of its memory has changed hands.
	stale int
}

// New returns an empty index.
func New() *Index {
	return &Index{engines: make(map[ident.Target]int), blocks: make(map[uint64]Set)}
}

// Slot returns the engine's number in the sets of this index, and gives it one
// where it has none. It is negative where all are taken.
func (x *Index) Slot(target ident.Target) int {
	if slot, ok := x.engines[target]; ok {
		return slot
	}
	slot := len(x.state)
	if n := len(x.free); n > 0 {
		slot, x.free = x.free[n-1], x.free[:n-1]
	} else if slot == MaxEngines {
		return -1
	} else {
		x.state = append(x.state, engineState{})
	}
	x.state[slot] = engineState{target: target}
	x.engines[target] = slot
	return slot
}

// Forget drops an engine.
func (x *Index) Forget(target ident.Target) {
	slot, ok := x.engines[target]
	if !ok {
		return
	}
	x.clear(slot)
	delete(x.engines, target)
	x.free = append(x.free, slot)
}

// SetLimit sets how many blocks the engine's memory holds.
func (x *Index) SetLimit(target ident.Target, blocks int) {
	if slot := x.Slot(target); slot >= 0 {
		x.state[slot].limit = blocks * overfill
	}
}

// Apply takes in an engine's event. A gap in the sequence makes the engine's
// entry stale, since removals may have been missed. It is kept: a prompt that
// is sent for a wrong entry makes the entry true.
func (x *Index) Apply(target ident.Target, event fleet.CacheEvent) {
	slot := x.Slot(target)
	if slot < 0 {
		return
	}
	state := &x.state[slot]
	if state.next != 0 && event.Sequence < state.next {
		return
	}
	if state.next != 0 && event.Sequence > state.next {
		state.stale = staleEvents
	}
	state.stale = max(0, state.stale-1)
	state.next = event.Sequence + 1
	x.mark(slot, event.Block, !event.Removed)
}

// Expect notes that the engine was sent a prompt and will soon hold its blocks.
func (x *Index) Expect(target ident.Target, blocks []uint64) {
	slot := x.Slot(target)
	if slot < 0 {
		return
	}
	for _, block := range blocks {
		x.mark(slot, block, true)
	}
}

// Restart drops what is known of an engine whose process was started anew.
func (x *Index) Restart(target ident.Target) {
	if slot, ok := x.engines[target]; ok {
		x.clear(slot)
		x.state[slot].next = 0
		x.state[slot].stale = 0
	}
}

// Stale reports whether events of the engine were missed lately, so that it
// may hold less than the index says.
func (x *Index) Stale(slot int) bool { return x.state[slot].stale > 0 }

// Depths writes into depths, by slot, how many leading blocks of the prompt
// each engine holds. It allocates nothing; depths must be zeroed and have room
// for MaxEngines.
func (x *Index) Depths(blocks []uint64, depths []int32) {
	alive := x.all()
	for i, block := range blocks {
		held := x.blocks[block]
		alive.drop(held, int32(i), depths)
		if alive.Empty() {
			return
		}
	}
	alive.each(func(slot int) { depths[slot] = int32(len(blocks)) })
}

// all returns the set of all slots in use.
func (x *Index) all() Set {
	var set Set
	for i := range x.state {
		set.Add(i)
	}
	return set
}

// mark sets or clears the engine in a block's set.
func (x *Index) mark(slot int, block uint64, held bool) {
	set, ok := x.blocks[block]
	if set.Has(slot) == held {
		return
	}
	state := &x.state[slot]
	if held {
		if state.limit > 0 && state.held >= state.limit {
			x.clear(slot)
			set = x.blocks[block]
		}
		set.Add(slot)
		state.held++
		x.blocks[block] = set
		return
	}
	state.held--
	set.Remove(slot)
	if ok && set.Empty() {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = set
}

// clear takes the engine out of every set.
func (x *Index) clear(slot int) {
	for block, set := range x.blocks {
		if !set.Has(slot) {
			continue
		}
		set.Remove(slot)
		if set.Empty() {
			delete(x.blocks, block)
			continue
		}
		x.blocks[block] = set
	}
	x.state[slot].held = 0
}
