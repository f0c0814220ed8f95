// Package storeera guards the users of a store against its return from an older copy.
//
// A store that went back gives revisions and lease IDs out again, so that a condition
// on a revision can hold by accident, and a lease can be another process's. The Guard
// marks versions, cursors and leases with the era in which they were read, refuses
// those of an earlier era, and takes no answer across a rise of the era for a success.
package storeera
