// Package registry keeps the view of the targets that register themselves in the
// store: which exist, which are leaving and which have restarted.
package registry
