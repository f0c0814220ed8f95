// Package faulttarget wraps a target's handler and injects failures: connections
// closed before, during and after a request, hangs, delays, and responses that
// are truncated, malformed or belong to another attempt.
package faulttarget
