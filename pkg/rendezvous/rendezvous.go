// Package rendezvous ranks hosts for a thing by hashing, so that all daemons with the same
// view of the hosts choose the same ones without a message.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Weight returns the weight of a host for a thing, such as a duty or a target. The host with
// the highest weight ranks first.
func Weight(thing string, host ident.Host) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a Digest never fail.
	_, _ = digest.WriteString(thing)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(host))
	return digest.Sum64()
}
