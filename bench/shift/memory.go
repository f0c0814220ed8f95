package shift

import (
	"container/list"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// memory is an engine's prefix memory; the block used longest ago goes first.
type memory struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List
	// sequence numbers the events; pending are those not yet published.
	sequence uint64
	pending  []fleet.CacheEvent
}

// newMemory returns an empty memory for so many blocks.
func newMemory(limit int) *memory {
	return &memory{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// depth returns how many leading blocks are held.
func (m *memory) depth(prefix []uint64) int {
	for i, block := range prefix {
		if _, ok := m.blocks[block]; !ok {
			return i
		}
	}
	return len(prefix)
}

// store takes a prompt's blocks in. Later blocks are dropped before earlier
// ones, since they are of no use without them.
func (m *memory) store(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		block := prefix[i]
		if element, ok := m.blocks[block]; ok {
			m.recent.MoveToFront(element)
			continue
		}
		m.blocks[block] = m.recent.PushFront(block)
		m.publish(block, false)
	}
	for m.recent.Len() > m.limit {
		last := m.recent.Back()
		block, _ := m.recent.Remove(last).(uint64)
		delete(m.blocks, block)
		m.publish(block, true)
	}
}

// publish notes an event.
func (m *memory) publish(block uint64, removed bool) {
	m.sequence++
	m.pending = append(m.pending, fleet.CacheEvent{Sequence: m.sequence, Block: block, Removed: removed})
}
