// Package clock provides the monotonic clock that lease and freshness deadlines are
// measured by, and helpers to wait and repeat.
package clock
