// Package supply plans how many targets of each kind to run in each failure
// domain, and which running work must move off a target that the platform
// reclaims. It performs no I/O.
package supply
