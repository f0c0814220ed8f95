// Package presence tells the daemons of each other through the store.
//
// Every daemon writes one small key that is bound to a lease of the store, and
// renews the lease. The key changes only when a daemon comes or goes, so that
// those who follow the store hear nothing of daemons that stay.
package presence
