// Package fault defines the system's typed errors. Each has a kind, which code
// compares, a reason, and a remedy that says what the reader can do.
package fault
