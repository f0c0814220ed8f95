// Package backlog exchanges, between daemons, the number of prompt tokens that
// each has sent to a target and that are not known to be computed yet. Routing
// uses the sums for targets that don't report their own queue.
//
// Each daemon sends its sums to its neighbors shortly after they change. In a
// small fleet every other daemon is a neighbor. A large fleet is divided into
// cells. A cell is a group of daemons of one failure domain that are all neighbors
// of each other. A daemon's sources are the daemons, one in each other cell, that
// send it the combined sums of their cell. Its sinks are the daemons of other cells
// that it sends the combined sums of its own cell to. The sums of a daemon that
// stops sending expire.
package backlog
