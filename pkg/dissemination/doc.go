// Package dissemination replicates small state items of each daemon to all
// other daemons.
//
// An origin is one incarnation of one daemon. Only the origin writes its items.
// It sends the changed ones in numbered bundles, one per interval or at the next
// tick after an urgent change. The value with the highest bundle version wins.
// A receiver tracks the version up to which it has every bundle of an origin,
// and requests missing ones from another daemon. A bundle without items is a
// heartbeat.
package dissemination
