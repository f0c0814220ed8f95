// Package registry keeps the view of targets that enter themselves in the
// store: which there are, which are leaving, and which came back as new.
package registry
