// Package memstore is an in-memory implementation of the platform's key-value
// store.
package memstore
