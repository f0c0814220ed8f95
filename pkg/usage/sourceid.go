package usage

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SourceID names one source of figures: one life of one daemon. A daemon whose
// figures were sealed goes on as another source.
type SourceID struct {
	Host        ident.Host        `codec:"h"`
	Incarnation ident.Incarnation `codec:"i"`
}

// OpenPrefix starts the keys of the sources' checkpoints.
const OpenPrefix external.Key = "usage/open/"

// key returns where the source's checkpoint stands in the store.
func (s SourceID) key() external.Key {
	return OpenPrefix + external.Key(fmt.Sprintf("%s/%d", s.Host, s.Incarnation))
}
