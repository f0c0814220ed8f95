package dissemination

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// OriginID identifies an origin in frames: a hash of host and incarnation.
type OriginID uint32

// Version numbers the bundles of an origin from one.
type Version uint64

// ItemID numbers the items of an origin.
type ItemID uint32

// Instance is one incarnation of one daemon. A process whose incarnation other
// daemons have ended continues as a new instance.
type Instance struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// ID returns the ID of the instance's origin.
func (i Instance) ID() OriginID {
	var tail [8]byte
	binary.BigEndian.PutUint64(tail[:], uint64(i.Incarnation))
	return OriginID(xxhash.Sum64(append([]byte(i.Host), tail[:]...)))
}

// Section is the kind of an item.
type Section uint8

// Sections, by the numbers that are sent in frames.
const (
	// SectionInstance holds the one item that identifies the origin, an Instance.
	SectionInstance Section = 1
	// SectionRevisions holds the loaded revisions of configuration and holds.
	SectionRevisions Section = 2
	// SectionTarget holds the platform's records of targets.
	SectionTarget Section = 3
	// SectionListed counts the reads of the platform's list of targets.
	SectionListed Section = 4
	// SectionLoad holds targets' load.
	SectionLoad Section = 5
	// SectionEvents holds the newest cache events of targets.
	SectionEvents Section = 6
	// SectionConsumption holds what workspaces have consumed.
	SectionConsumption Section = 7
	// SectionRunning holds how many requests of a workspace run at one daemon.
	SectionRunning Section = 8
)

// Key names an item within its origin.
type Key struct {
	Section Section
	Name    string
}
