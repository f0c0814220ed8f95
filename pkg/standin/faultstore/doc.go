// Package faultstore wraps a store and injects the failures of the platform's
// store: outages, added latency, responses lost after a write took effect, silent
// or delayed watches and rate limits. It counts the calls by the first path
// element of their keys. Process and ProcessStore inject the failures of one
// process: pauses, kills and partitions.
package faultstore
