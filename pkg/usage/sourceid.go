package usage

import (
	"fmt"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/platform"
)

// SourceID names one source of figures: one life of one daemon. A daemon whose
// figures were sealed goes on as another source.
type SourceID struct {
	Host        ident.Host        `codec:"h"`
	Incarnation ident.Incarnation `codec:"i"`
}

// OpenPrefix starts the keys of the sources' checkpoints.
const OpenPrefix platform.Key = "usage/open/"

// key returns where the source's checkpoint stands in the store.
func (s SourceID) key() platform.Key {
	return OpenPrefix + platform.Key(fmt.Sprintf("%s/%d", s.Host, s.Incarnation))
}
