package external

// Swap is one compare-and-swap.
type Swap struct {
	Key Key
	// Base is the version that the key must stand at; NoVersion creates it.
	Base  Version
	Value []byte
	// Lease binds the key to a lease, at whose end it is deleted.
	Lease LeaseID
}
