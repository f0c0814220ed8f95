// Package targets is a stand-in for the interface that orders and lists
// targets.
package targets
