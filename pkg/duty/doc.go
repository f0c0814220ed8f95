// Package duty defines duties, which are shards of work that one process at a time
// holds, and ranks the processes that may hold them.
//
// The ranking uses rendezvous hashing, so that every process computes the same
// order from the same list of candidates, and the loss of one candidate moves
// only the shards for which it ranked first. Successive ranks are in different
// failure domains as long as there are enough of them.
package duty
