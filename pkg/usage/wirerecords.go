package usage

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// wireCheckpoint is a Checkpoint in the store.
type wireCheckpoint struct {
	Source   SourceID    `codec:"i"`
	Sequence uint64      `codec:"q"`
	Sealed   bool        `codec:"z,omitempty"`
	SealedBy ident.Host  `codec:"y,omitempty"`
	SealedAt Stamp       `codec:"a,omitempty"`
	Names    []string    `codec:"m"`
	Batches  []wireBatch `codec:"b"`
}

// encodeCheckpoint returns the checkpoint's bytes.
func encodeCheckpoint(checkpoint *Checkpoint) ([]byte, error) {
	table := newNames()
	wire := wireCheckpoint{
		Source: checkpoint.Source, Sequence: checkpoint.Sequence, Sealed: checkpoint.Sealed, SealedBy: checkpoint.SealedBy, SealedAt: checkpoint.SealedAt,
	}
	for _, b := range checkpoint.Batches {
		wire.Batches = append(wire.Batches, wireBatch{
			Number: b.Number, Start: b.Start, End: b.End, Closed: b.Closed, Lines: table.pack(b.Lines, b.Start),
		})
	}
	wire.Names = table.list
	return encode(&wire)
}

// decodeCheckpoint reads a checkpoint.
func decodeCheckpoint(value []byte) (Checkpoint, error) {
	var wire wireCheckpoint
	if err := peer.Decode(value, &wire); err != nil {
		return Checkpoint{}, err
	}
	checkpoint := Checkpoint{Source: wire.Source, Sequence: wire.Sequence, Sealed: wire.Sealed, SealedBy: wire.SealedBy, SealedAt: wire.SealedAt}
	for _, b := range wire.Batches {
		lines, err := unpack(wire.Names, b.Lines, b.Start)
		if err != nil {
			return Checkpoint{}, err
		}
		checkpoint.Batches = append(checkpoint.Batches, Batch{Number: b.Number, Start: b.Start, End: b.End, Closed: b.Closed, Lines: lines})
	}
	return checkpoint, nil
}

// wireFrozen is a Frozen in the store.
type wireFrozen struct {
	Shard    int        `codec:"h"`
	Sequence uint64     `codec:"q"`
	Start    Stamp      `codec:"s"`
	End      Stamp      `codec:"e"`
	Marks    []wireMark `codec:"w"`
	Names    []string   `codec:"m"`
	Lines    []wireLine `codec:"l"`
}

// encodeFrozen returns the window's bytes.
func encodeFrozen(frozen *Frozen) ([]byte, error) {
	table := newNames()
	wire := wireFrozen{
		Shard: frozen.Shard, Sequence: frozen.Sequence, Start: frozen.Start, End: frozen.End,
		Marks: packMarks(frozen.Watermarks), Lines: table.pack(frozen.Lines, frozen.Start),
	}
	wire.Names = table.list
	return encode(&wire)
}

// decodeFrozen reads a window.
func decodeFrozen(value []byte) (*Frozen, error) {
	var wire wireFrozen
	if err := peer.Decode(value, &wire); err != nil {
		return nil, err
	}
	lines, err := unpack(wire.Names, wire.Lines, wire.Start)
	if err != nil {
		return nil, err
	}
	return &Frozen{
		Shard: wire.Shard, Sequence: wire.Sequence, Start: wire.Start, End: wire.End,
		Watermarks: unpackMarks(wire.Marks), Lines: lines,
	}, nil
}

// wireHead is a Head in the store.
type wireHead struct {
	Shard    int        `codec:"h"`
	Reported uint64     `codec:"r"`
	End      Stamp      `codec:"e"`
	Marks    []wireMark `codec:"w"`
}

// encodeHead returns the head's bytes.
func encodeHead(head *Head) ([]byte, error) {
	return encode(&wireHead{Shard: head.Shard, Reported: head.Reported, End: head.End, Marks: packMarks(head.Watermarks)})
}

// decodeHead reads a head.
func decodeHead(value []byte) (Head, error) {
	var wire wireHead
	if err := peer.Decode(value, &wire); err != nil {
		return Head{}, err
	}
	return Head{Shard: wire.Shard, Reported: wire.Reported, End: wire.End, Watermarks: unpackMarks(wire.Marks)}, nil
}

// wireTail is a message with the chunks that a peer is to keep.
type wireTail struct {
	Source SourceID `codec:"i"`
	// Process is the incarnation of the daemon's process.
	Process ident.Incarnation `codec:"p"`
	// Base is the last record that the source's checkpoint holds; chunks up to
	// it need no longer be kept.
	Base   uint64      `codec:"b"`
	Names  []string    `codec:"m"`
	Chunks []wireBatch `codec:"c"`
}

// wireAck is a message that confirms the records of a source.
type wireAck struct {
	Source SourceID `codec:"i"`
	// Through is the last record that is kept without a gap from the base.
	Through uint64 `codec:"t"`
}
