// Package waitlist holds requests that no target can take in time for their latency
// objective, until there is room for them or their time is over.
//
// A List decides which request goes first; it has no clock and no lock of its own. A Waiter
// keeps one list for each model and lets the requests of a list try for room by turns.
package waitlist
