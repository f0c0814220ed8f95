package storeera

import "amaranthplank.example/amaranthplank/pkg/external"

// leaseEraShift is the lowest bit of a lease ID that its era changes.
const leaseEraShift = 48

// leaseIn converts between the store's ID of a lease of the given era and the ID by
// which the guard's users know it. With another era than the lease's it returns an ID
// that the store does not have.
func leaseIn(era external.Era, lease external.LeaseID) external.LeaseID {
	if lease == external.NoLease {
		return external.NoLease
	}
	return lease ^ external.LeaseID(era)<<leaseEraShift
}

// entryIn returns an entry that was read in the given era, with the version and the
// lease marked by it.
func entryIn(era external.Era, entry external.Entry) external.Entry {
	entry.Version = external.NewVersion(era, uint64(entry.Version))
	entry.Lease = leaseIn(era, entry.Lease)
	return entry
}

// entriesIn marks several entries.
func entriesIn(era external.Era, entries []external.Entry) []external.Entry {
	for i := range entries {
		entries[i] = entryIn(era, entries[i])
	}
	return entries
}
