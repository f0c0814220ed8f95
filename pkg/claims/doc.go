// Package claims makes a request that bears an idempotency key run once in the
// fleet. Before the request is sent, its daemon writes a claim for the key into
// the platform's store, where a second submission through any daemon finds it;
// afterwards the claim bears the outcome and, where it is small, the answer.
//
// Claims are kept in shards, one value of the store each. A daemon gathers its
// writes to a shard while one compare-and-swap is under way and writes them
// with the next. A claim that can't be written for certain is a request that
// was not run.
package claims
