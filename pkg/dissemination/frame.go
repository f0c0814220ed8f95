package dissemination

import "amaranthplank.example/amaranthplank/pkg/ident"

// Frame is the message of the dissemination protocol. Its structs are encoded
// as arrays, so fields are only appended.
type Frame struct {
	Bundles []Bundle
	// Wants requests what the sender is missing.
	Wants []Want
	// Repairs answers a frame's Wants, or forwards new revisions that came in a repair.
	Repairs []Repair
	// Complete is set if Wants lists every origin that the sender holds, so
	// that the receiver also sends the origins that are not listed. In an
	// answer it is set if the sender has caught up and left nothing out.
	Complete bool
	// Sequence numbers the frames from the sender to the receiver; it is zero
	// in answers. Missed lists the numbers of lost frames of the other
	// direction.
	Sequence uint32
	Missed   []uint32
	// More is set if the answer was cut off at maxRepairItems.
	More bool
}

// Bundle holds the items that an origin changed since its last bundle.
type Bundle struct {
	Origin  OriginID
	Version Version
	// Urgent bundles are forwarded at the next tick and to more hosts.
	Urgent bool
	Items  []Item
}

// Item is one value of an origin.
type Item struct {
	ID ItemID
	// Section and Name are set in the item's first bundle and in repairs.
	Section Section
	Name    string
	// Value is CBOR, or two uvarints in SectionConsumption. An empty value
	// means that the item was withdrawn.
	Value []byte
}

// Want requests the items of an origin that changed after a version.
type Want struct {
	Origin OriginID
	After  Version
}

// Repair holds the newest values of an origin's items that changed after the
// version of a Want. A receiver that had everything up to After then has
// everything up to Version.
type Repair struct {
	Origin  OriginID
	Version Version
	After   Version
	Items   []RepairItem
}

// RepairItem is an item with the version that set it.
type RepairItem struct {
	Item
	Version Version
}

// Envelope is a frame with its receiver.
type Envelope struct {
	To    ident.Host
	Frame Frame
}
