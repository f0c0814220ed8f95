package external

// LeaseID identifies a lease of the store.
type LeaseID uint64

// NoLease is the lease of keys that are not bound to any lease.
const NoLease LeaseID = 0
