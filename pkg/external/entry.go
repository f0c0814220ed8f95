package external

// Entry is a key with its value at one version.
type Entry struct {
	Key     Key
	Value   []byte
	Version Version
	// Lease is the lease that the key is bound to, or NoLease.
	Lease LeaseID
	// Deleted is set in the entries of a watch whose key was deleted.
	Deleted bool
}
