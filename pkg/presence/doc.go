// Package presence discovers the daemons of a fleet through the store.
//
// Every daemon writes one small key that is bound to a lease of the store, and
// renews the lease. The key changes only when a daemon starts or ends, so that
// watches of the store receive no changes while the fleet stays the same.
package presence
