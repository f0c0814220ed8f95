package fleet

// CacheEvent says that an engine's prefix memory gained or lost a block.
type CacheEvent struct {
	// Sequence rises by one with each event; a jump is a gap.
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt up to and with the block.
	Block uint64 `json:"block"`
	// Removed is set where the block left the memory.
	Removed bool `json:"removed"`
}
