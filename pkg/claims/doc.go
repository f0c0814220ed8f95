// Package claims ensures that a request with an idempotency key runs at most
// once in the fleet. Before sending the request, a daemon writes a claim for the
// key to the platform's store, where a second submission through any daemon
// finds it. When the request has ended, the claim records its outcome and, if
// small enough, its response.
//
// Claims are divided into shards, each stored as one value. A daemon queues its
// writes to a shard while a compare-and-swap is in progress, and batches them
// into the next one. A request whose claim is not known to be written is not
// run.
package claims
