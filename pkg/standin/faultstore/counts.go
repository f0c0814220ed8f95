package faultstore

// Counts counts the calls on keys with the same first part.
type Counts struct {
	Reads  uint64
	Writes uint64
	// Watches counts the watches that were begun.
	Watches uint64
}
