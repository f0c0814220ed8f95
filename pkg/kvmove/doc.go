// Package kvmove moves running streams off engines that are about to be taken
// away. The KV cache goes from engine to engine by order, never through a
// daemon.
package kvmove
