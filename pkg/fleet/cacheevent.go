package fleet

// CacheEvent reports that an engine's prefix cache gained or lost a block.
type CacheEvent struct {
	// Sequence increases by one with each event; a larger step means that
	// events were lost.
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt up to and including the block.
	Block uint64 `json:"block"`
	// Removed is set if the block was removed from the cache.
	Removed bool `json:"removed"`
}
