// Package fault holds the typed errors of the system. Each has a kind, which
// code compares, a reason, and a remedy that names what the reader can do.
package fault
