package membership

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Gossip is the message of the membership: a heartbeat with news.
type Gossip struct {
	From Beat
	// Digest is the hash of the sender's whole table.
	Digest uint64
	// Records are what changed lately, or the whole table after digests
	// differed.
	Records []Record
	Asks    []Ask
	Answers []Answer
}

// Beat is a sign of life.
type Beat struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Revision and HoldsRevision are the control state that is loaded.
	Revision      ident.Revision
	HoldsRevision ident.Revision
}

// Ask asks whether the receiver has heard from a suspect.
type Ask struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Answer says how long ago the sender has heard from a suspect.
type Answer struct {
	Beat Beat
	Age  time.Duration
}

// Envelope is a gossip with its receiver.
type Envelope struct {
	To     ident.Host
	Gossip Gossip
}
