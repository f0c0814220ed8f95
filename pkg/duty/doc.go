// Package duty names the shards of work that one process at a time carries, and
// ranks the processes that may carry them.
//
// The ranking is a rendezvous hash, so that every process comes to the same
// order from the same list of candidates, and the loss of one candidate moves
// only the shards that it was first for. Successive ranks stand in different
// failure domains as far as there are enough of them.
package duty
