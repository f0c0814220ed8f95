// Package memstore is a stand-in for the platform's key-value store, kept in
// memory.
package memstore
