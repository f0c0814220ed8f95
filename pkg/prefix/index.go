package prefix

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// overfillFactor is the multiple of an engine's cache limit at which its entry
// is considered wrong and dropped.
const overfillFactor = 2

// staleEvents is the number of events after a gap during which an entry counts
// as stale.
const staleEvents = 128

// Index records which prompt blocks each engine holds. It is not safe for
// concurrent use.
type Index struct {
	slots     map[ident.Target]int
	engines   []engineState
	blocks    map[uint64]Set
	freeSlots []int
}

// engineState is the entry of one engine, apart from its blocks.
type engineState struct {
	target ident.Target
	// next is the expected sequence number of the next event; zero before the
	// first.
	next uint64
	// blockCount counts the blocks that the engine holds.
	blockCount int
	// maxBlocks is the largest allowed blockCount; zero means no limit.
	maxBlocks int
	// staleEventsLeft is the number of further events after a gap until the entry no
	// longer counts as stale: by then most of the engine's cache has been
	// replaced.
	staleEventsLeft int
}

// New returns an empty index.
func New() *Index {
	return &Index{slots: make(map[ident.Target]int), blocks: make(map[uint64]Set)}
}

// Slot returns the engine's slot in the sets of this index, and assigns one if
// it has none. It is negative if all slots are taken.
func (x *Index) Slot(target ident.Target) int {
	if slot, ok := x.slots[target]; ok {
		return slot
	}
	slot := len(x.engines)
	if n := len(x.freeSlots); n > 0 {
		slot, x.freeSlots = x.freeSlots[n-1], x.freeSlots[:n-1]
	} else if slot == MaxEngines {
		return -1
	} else {
		x.engines = append(x.engines, engineState{})
	}
	x.engines[slot] = engineState{target: target}
	x.slots[target] = slot
	return slot
}

// Forget removes an engine.
func (x *Index) Forget(target ident.Target) {
	slot, ok := x.slots[target]
	if !ok {
		return
	}
	x.clear(slot)
	delete(x.slots, target)
	x.freeSlots = append(x.freeSlots, slot)
}

// SetLimit sets how many blocks the engine's cache holds.
func (x *Index) SetLimit(target ident.Target, blocks int) {
	if slot := x.Slot(target); slot >= 0 {
		x.engines[slot].maxBlocks = blocks * overfillFactor
	}
}

// Apply processes a cache event of an engine. A gap in the sequence makes the
// engine's entry stale, since removals may have been missed. The entry is kept:
// if it is wrong for a block, a prompt that is sent to the engine because of it
// brings the block back into the engine's cache.
func (x *Index) Apply(target ident.Target, event fleet.CacheEvent) {
	slot := x.Slot(target)
	if slot < 0 {
		return
	}
	state := &x.engines[slot]
	if state.next != 0 && event.Sequence < state.next {
		return
	}
	if state.next != 0 && event.Sequence > state.next {
		state.staleEventsLeft = staleEvents
	}
	state.staleEventsLeft = max(0, state.staleEventsLeft-1)
	state.next = event.Sequence + 1
	x.setHeld(slot, event.Block, !event.Removed)
}

// RecordSent records that the engine was sent a prompt and will soon hold its
// blocks.
func (x *Index) RecordSent(target ident.Target, blocks []uint64) {
	slot := x.Slot(target)
	if slot < 0 {
		return
	}
	for _, block := range blocks {
		x.setHeld(slot, block, true)
	}
}

// Restart clears the entry of an engine whose process was restarted.
func (x *Index) Restart(target ident.Target) {
	if slot, ok := x.slots[target]; ok {
		x.clear(slot)
		x.engines[slot].next = 0
		x.engines[slot].staleEventsLeft = 0
	}
}

// Stale reports whether events of the engine were missed recently, so that it
// may hold fewer blocks than the index records.
func (x *Index) Stale(slot int) bool { return x.engines[slot].staleEventsLeft > 0 }

// Depths writes to depths, by slot, how many leading blocks of the prompt each
// engine holds. It does not allocate; depths must be zeroed and have MaxEngines
// elements.
func (x *Index) Depths(blocks []uint64, depths []int32) {
	remaining := x.allSlots()
	for i, block := range blocks {
		holders := x.blocks[block]
		remaining.intersect(holders, int32(i), depths)
		if remaining.Empty() {
			return
		}
	}
	remaining.forEach(func(slot int) { depths[slot] = int32(len(blocks)) })
}

// allSlots returns the set of all slots that have been assigned, freed ones
// included.
func (x *Index) allSlots() Set {
	var set Set
	for i := range x.engines {
		set.Add(i)
	}
	return set
}

// setHeld adds the engine to a block's set, or removes it.
func (x *Index) setHeld(slot int, block uint64, held bool) {
	set, ok := x.blocks[block]
	if set.Has(slot) == held {
		return
	}
	state := &x.engines[slot]
	if held {
		if state.maxBlocks > 0 && state.blockCount >= state.maxBlocks {
			x.clear(slot)
			set = x.blocks[block]
		}
		set.Add(slot)
		state.blockCount++
		x.blocks[block] = set
		return
	}
	state.blockCount--
	set.Remove(slot)
	if ok && set.Empty() {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = set
}

// clear removes the engine from every set.
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
	x.engines[slot].blockCount = 0
}
