package usage

import (
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// wireCheckpoint is the stored form of a Checkpoint.
type wireCheckpoint struct {
	Source   SourceID    `codec:"i"`
	Sequence uint64      `codec:"q"`
	Sealed   bool        `codec:"z,omitempty"`
	SealedBy ident.Host  `codec:"y,omitempty"`
	SealedAt Timestamp   `codec:"a,omitempty"`
	Names    []string    `codec:"m"`
	Batches  []wireBatch `codec:"b"`
}

// encodeCheckpoint encodes a checkpoint.
func encodeCheckpoint(checkpoint *Checkpoint) ([]byte, error) {
	table := newNameTable()
	wire := wireCheckpoint{
		Source: checkpoint.Source, Sequence: checkpoint.Sequence, Sealed: checkpoint.Sealed, SealedBy: checkpoint.SealedBy, SealedAt: checkpoint.SealedAt,
	}
	for _, b := range checkpoint.Batches {
		wire.Batches = append(wire.Batches, wireBatch{
			Number: b.Number, Start: b.Start, End: b.End, Closed: b.Closed, Lines: table.packLines(b.Lines, b.Start),
		})
	}
	wire.Names = table.list
	return encode(&wire)
}

// decodeCheckpoint decodes a checkpoint.
func decodeCheckpoint(value []byte) (Checkpoint, error) {
	var wire wireCheckpoint
	if err := peer.Decode(value, &wire); err != nil {
		return Checkpoint{}, err
	}
	checkpoint := Checkpoint{Source: wire.Source, Sequence: wire.Sequence, Sealed: wire.Sealed, SealedBy: wire.SealedBy, SealedAt: wire.SealedAt}
	for _, b := range wire.Batches {
		lines, err := unpackLines(wire.Names, b.Lines, b.Start)
		if err != nil {
			return Checkpoint{}, err
		}
		checkpoint.Batches = append(checkpoint.Batches, Batch{Number: b.Number, Start: b.Start, End: b.End, Closed: b.Closed, Lines: lines})
	}
	return checkpoint, nil
}

// wireFrozen is the stored form of a FrozenWindow.
type wireFrozen struct {
	Shard      int             `codec:"h"`
	Sequence   uint64          `codec:"q"`
	Start      Timestamp       `codec:"s"`
	End        Timestamp       `codec:"e"`
	Watermarks []wireWatermark `codec:"w"`
	Names      []string        `codec:"m"`
	Lines      []wireLine      `codec:"l"`
}

// encodeFrozen encodes a frozen window.
func encodeFrozen(frozen *FrozenWindow) ([]byte, error) {
	table := newNameTable()
	wire := wireFrozen{
		Shard: frozen.Shard, Sequence: frozen.Sequence, Start: frozen.Start, End: frozen.End,
		Watermarks: packWatermarks(frozen.Watermarks), Lines: table.packLines(frozen.Lines, frozen.Start),
	}
	wire.Names = table.list
	return encode(&wire)
}

// decodeFrozen decodes a frozen window.
func decodeFrozen(value []byte) (*FrozenWindow, error) {
	var wire wireFrozen
	if err := peer.Decode(value, &wire); err != nil {
		return nil, err
	}
	lines, err := unpackLines(wire.Names, wire.Lines, wire.Start)
	if err != nil {
		return nil, err
	}
	return &FrozenWindow{
		Shard: wire.Shard, Sequence: wire.Sequence, Start: wire.Start, End: wire.End,
		Watermarks: unpackWatermarks(wire.Watermarks), Lines: lines,
	}, nil
}

// wireHead is the stored form of a Head.
type wireHead struct {
	Shard      int             `codec:"h"`
	Reported   uint64          `codec:"r"`
	End        Timestamp       `codec:"e"`
	Watermarks []wireWatermark `codec:"w"`
}

// encodeHead encodes a head.
func encodeHead(head *Head) ([]byte, error) {
	return encode(&wireHead{Shard: head.Shard, Reported: head.Reported, End: head.End, Watermarks: packWatermarks(head.Watermarks)})
}

// decodeHead decodes a head.
func decodeHead(value []byte) (Head, error) {
	var wire wireHead
	if err := peer.Decode(value, &wire); err != nil {
		return Head{}, err
	}
	return Head{Shard: wire.Shard, Reported: wire.Reported, End: wire.End, Watermarks: unpackWatermarks(wire.Watermarks)}, nil
}

// wireTail is a message with chunks for the peer that holds the replica.
type wireTail struct {
	Source SourceID `codec:"i"`
	// Process is the incarnation of the daemon's process.
	Process ident.Incarnation `codec:"p"`
	// Base is the last record known to be in the source's stored checkpoint;
	// the replica may discard the chunks up to it.
	Base   uint64      `codec:"b"`
	Names  []string    `codec:"m"`
	Chunks []wireBatch `codec:"c"`
}

// wireAck is a message that acknowledges the records of a source.
type wireAck struct {
	Source SourceID `codec:"i"`
	// Through is the last record up to which the replica has no gap.
	Through uint64 `codec:"t"`
}
