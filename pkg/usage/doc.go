// Package usage meters each workspace's requests and tokens by model and service,
// aggregates them into time windows and reports each window to the platform once.
// A request counts in the window in which it ended, if it was answered or its caller
// disconnected after a part of the answer. Usage that is stored late goes into a
// later window's report.
//
// Each daemon runs a Source, which counts its requests, checkpoints the counts
// into the store and replicates the records since the last checkpoint (the
// tail) to a daemon in another failure domain. If the daemon fails, the holder
// of the replica seals its checkpoint with the tail. For each shard of the
// workspaces, one Reporter adds up the closed batches of all sources, stores the
// result as a frozen window and sends it to the platform.
//
// The processes of package daemon use this package. Those of package gateway use
// package tally instead, which counts only the number of requests of each
// workspace, when they start, and no tokens.
package usage
