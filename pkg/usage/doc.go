// Package usage counts what each workspace used, closes the counts by window
// and reports each window once.
package usage
