package faultstore

// Counts holds the numbers of calls on keys with the same first path element.
type Counts struct {
	Reads  uint64
	Writes uint64
	// Watches is the number of watches started, each of which is also counted
	// in Reads.
	Watches uint64
}
