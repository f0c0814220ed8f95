package external

// Swap is one compare-and-swap operation.
type Swap struct {
	Key Key
	// Base is the version that the key must be at; NoVersion creates the key.
	Base  Version
	Value []byte
	// Lease is the lease that the key is bound to. The key is deleted when the
	// lease ends.
	Lease LeaseID
}
