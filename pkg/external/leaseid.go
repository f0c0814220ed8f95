package external

// LeaseID names a lease of the store. NoLease marks a key that is not bound
// to any.
type LeaseID uint64

// NoLease marks a key that outlives every lease.
const NoLease LeaseID = 0
