// Package kvmove moves running streams off engines that are about to be
// reclaimed. The KV cache is copied directly from engine to engine, never
// through a daemon.
package kvmove
