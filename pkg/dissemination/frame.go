package dissemination

import "amaranthplank.example/amaranthplank/pkg/ident"

// Frame is the message of the dissemination. Its structs are written as
// arrays, so fields are only appended.
type Frame struct {
	Bundles []Bundle
	// Wants asks for what the sender misses.
	Wants []Want
	// Repairs answer wants.
	Repairs []Repair
	// Complete says that the wants name every origin that the sender holds,
	// so that the receiver adds those that it holds besides.
	Complete bool
	// Sequence counts the frames from the sender to the receiver, and Missed
	// lists those of the other direction that did not come.
	Sequence uint32
	Missed   []uint32
	// More says that there was more to repair than one frame takes.
	More bool
}

// Bundle holds the items that an origin changed since its last bundle.
type Bundle struct {
	Origin  OriginID
	Version Version
	// Urgent bundles take every way there is.
	Urgent bool
	Items  []Item
}

// Item is one value of an origin.
type Item struct {
	ID ItemID
	// Section and Name are set in the item's first bundle and in repairs.
	Section Section
	Name    string
	// Value is CBOR; an empty one says that the item was withdrawn.
	Value []byte
}

// Want asks for what an origin changed after a version.
type Want struct {
	Origin OriginID
	After  Version
}

// Repair holds the newest values of an origin's items that changed after a
// want's version. The receiver then has everything up to Version.
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
