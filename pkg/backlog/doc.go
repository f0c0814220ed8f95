// Package backlog exchanges, between daemons, the number of prompt tokens that
// each has sent to a target and that are not known to be computed yet. Routing
// uses the sums for targets that don't report their own queue.
//
// Each daemon sends its sums to its neighbors shortly after they change. In a
// small fleet every other daemon is a neighbor. In a large one the neighbors are
// the daemons of the same cell, and one daemon of each other cell sends the sums
// of that cell. The sums of a daemon that stops sending expire.
package backlog
