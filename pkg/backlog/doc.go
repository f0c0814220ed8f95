// Package backlog exchanges, between daemons, the prompt tokens that each has
// sent to a target and not yet seen computed. Routing uses the sums for targets
// that don't report their own queue.
//
// Each daemon sends its sums to its peers shortly after they change. In a small
// fleet every other daemon is a peer. In a large one the peers are the daemons
// of the same cell, and one daemon of each other cell forwards the sums of that
// cell. The sums of a daemon that stops sending expire.
package backlog
