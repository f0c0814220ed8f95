// Package fault defines the system's typed errors. Each has a kind, by which code
// distinguishes errors, a reason, and a remedy for the reader.
package fault
