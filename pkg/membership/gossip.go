package membership

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Gossip is the message of the membership protocol: a heartbeat with changes.
type Gossip struct {
	From Heartbeat
	// Digest is the hash of the sender's whole table.
	Digest uint64
	// Records are the latest changes, or the whole table after digests
	// differed.
	Records []Record
	Asks    []Ask
	Answers []Answer
}

// Heartbeat is a heartbeat of a member.
type Heartbeat struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Revision and HoldsRevision are those of the loaded control state.
	Revision      ident.Revision
	HoldsRevision ident.Revision
}

// Ask queries the receiver for a recent heartbeat of a suspect.
type Ask struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Answer reports the newest heartbeat of a suspect that the sender has recorded,
// and its age.
type Answer struct {
	Beat Heartbeat
	Age  time.Duration
}

// Envelope is a gossip with its receiver.
type Envelope struct {
	To     ident.Host
	Gossip Gossip
}
