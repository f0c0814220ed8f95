package usage

import "amaranthplank.example/amaranthplank/pkg/ident"

// Batch is the figures that a source met in one window. A closed one never
// changes.
type Batch struct {
	// Number rises by one from batch to batch of a source, from one.
	Number uint64
	// Start and End bound the window in which the batch was filled.
	Start  Stamp
	End    Stamp
	Closed bool
	Lines  []Line
}

// Checkpoint is a source's figures as they stand in the store.
type Checkpoint struct {
	Source SourceID
	// Sequence is the number of the last record that the figures hold.
	Sequence uint64
	// Sealed says that nothing is added any more, not even by the source.
	Sealed bool
	// SealedBy is the host that sealed it.
	SealedBy ident.Host
	// SealedAt is when that was, on the sealing host's clock.
	SealedAt Stamp
	// Batches are those that some shard has not reported yet, in order.
	Batches []Batch
}

// Chunk is the figures of some records in a row, as a peer keeps them.
type Chunk struct {
	// From and To are the numbers of the first and the last record.
	From uint64
	To   uint64
	// End is the end of the window that was open.
	End   Stamp
	Lines []Line
}

// Seal returns the checkpoint as sealed with the tail that a peer kept: every
// batch is closed, and the chunks that follow the checkpoint without a gap make
// up one more. It returns false where the checkpoint is sealed already.
func Seal(checkpoint Checkpoint, by ident.Host, at Stamp, tail []Chunk) (Checkpoint, bool) {
	if checkpoint.Sealed {
		return checkpoint, false
	}
	sealed := checkpoint
	sealed.Sealed, sealed.SealedBy, sealed.SealedAt = true, by, at
	sealed.Batches = make([]Batch, 0, len(checkpoint.Batches)+1)
	for _, batch := range checkpoint.Batches {
		batch.Closed = true
		sealed.Batches = append(sealed.Batches, batch)
	}
	rest := make(sums)
	extra := Batch{Number: lastNumber(checkpoint.Batches) + 1, Closed: true}
	for _, chunk := range tail {
		if chunk.From != sealed.Sequence+1 {
			continue
		}
		rest.addAll(chunk.Lines)
		sealed.Sequence = chunk.To
		extra.End = max(extra.End, chunk.End)
	}
	if len(rest) > 0 {
		extra.Start, extra.Lines = extra.End, rest.lines()
		sealed.Batches = append(sealed.Batches, extra)
	}
	return sealed, true
}

// lastNumber returns the number of the last batch, or zero. A source keeps its
// newest batch in every checkpoint, so that numbers are never used again.
func lastNumber(batches []Batch) uint64 {
	if len(batches) == 0 {
		return 0
	}
	return batches[len(batches)-1].Number
}
