// Package usage meters each workspace's requests and tokens, aggregates them
// into time windows and reports each window to the platform once.
//
// Each daemon runs a Source, which counts its requests, checkpoints the counts
// into the store and replicates the records since the last checkpoint (the
// tail) to a daemon in another failure domain. If the daemon fails, the holder
// of the replica seals its checkpoint with the tail. For each shard of the
// workspaces, one Reporter adds up the closed batches of all sources, stores the
// result as a frozen window and sends it to the platform.
package usage
