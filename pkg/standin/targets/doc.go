// Package targets simulates the platform's interface for ordering and listing
// targets.
package targets
