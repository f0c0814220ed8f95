package shift

import (
	"container/list"

	"amaranthplank.example/amaranthplank/pkg/fleet"
)

// prefixCache is an engine's prefix cache, with LRU eviction of blocks.
type prefixCache struct {
	limit   int
	blocks  map[uint64]*list.Element
	recency *list.List
	// sequence numbers the cache events; pendingEvents are those not yet
	// published.
	sequence      uint64
	pendingEvents []fleet.CacheEvent
}

// newPrefixCache returns an empty cache with a capacity of limit blocks.
func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), recency: list.New()}
}

// cachedBlocks returns the number of leading blocks of a prefix that are cached.
func (c *prefixCache) cachedBlocks(prefix []uint64) int {
	for i, block := range prefix {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(prefix)
}

// insert adds a prompt's blocks and evicts the least recently used ones beyond the
// limit. Later blocks of a prompt are evicted before earlier ones, since a block is
// of no use without those before it.
func (c *prefixCache) insert(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		block := prefix[i]
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.recordEvent(block, false)
	}
	for c.recency.Len() > c.limit {
		last := c.recency.Back()
		block, _ := c.recency.Remove(last).(uint64)
		delete(c.blocks, block)
		c.recordEvent(block, true)
	}
}

// recordEvent adds a cache event to the pending ones.
func (c *prefixCache) recordEvent(block uint64, removed bool) {
	c.sequence++
	c.pendingEvents = append(c.pendingEvents, fleet.CacheEvent{Sequence: c.sequence, Block: block, Removed: removed})
}
