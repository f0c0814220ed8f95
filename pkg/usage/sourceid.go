package usage

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SourceID identifies a source of usage: one incarnation of one daemon. A daemon
// whose checkpoint was sealed by another host continues as a new source.
type SourceID struct {
	Host        ident.Host        `codec:"h"`
	Incarnation ident.Incarnation `codec:"i"`
}

// CheckpointPrefix is the key prefix of the sources' checkpoints in the store.
const CheckpointPrefix external.Key = "usage/open/"

// key returns the store key of the source's checkpoint.
func (s SourceID) key() external.Key {
	return CheckpointPrefix + external.Key(fmt.Sprintf("%s/%d", s.Host, s.Incarnation))
}
