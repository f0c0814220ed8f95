package usage

import "amaranthplank.example/amaranthplank/pkg/ident"

// Batch holds the usage that a source recorded in one window. A closed batch is
// immutable.
type Batch struct {
	// Number counts the batches of a source, starting at one.
	Number uint64
	// Start and End bound the window in which the batch was recorded.
	Start  Timestamp
	End    Timestamp
	Closed bool
	Lines  []Line
}

// Checkpoint is a source's usage as stored.
type Checkpoint struct {
	Source SourceID
	// Sequence is the number of the last record that the batches include.
	Sequence uint64
	// Sealed marks the checkpoint as final: no more usage is added to it, not
	// even by its source.
	Sealed bool
	// SealedBy is the host that sealed it.
	SealedBy ident.Host
	// SealedAt is the time of sealing by the sealing host's clock.
	SealedAt Timestamp
	// Batches are in order and include each batch that some shard has not
	// reported yet.
	Batches []Batch
}

// Chunk holds the usage of consecutive records, the unit in which a tail is
// replicated to a peer.
type Chunk struct {
	// From and To are the numbers of the first and the last record.
	From uint64
	To   uint64
	// End is the end of the window in which the chunk was recorded.
	End   Timestamp
	Lines []Line
}

// Seal returns the sealed checkpoint: every batch is closed, and the chunks of
// the tail that follow the checkpoint without a gap form one more batch. It
// returns false if the checkpoint is already sealed.
func Seal(checkpoint Checkpoint, by ident.Host, at Timestamp, tail []Chunk) (Checkpoint, bool) {
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
	tailTotals := make(totals)
	tailBatch := Batch{Number: lastBatchNumber(checkpoint.Batches) + 1, Closed: true}
	for _, chunk := range tail {
		if chunk.From != sealed.Sequence+1 {
			continue
		}
		tailTotals.addAll(chunk.Lines)
		sealed.Sequence = chunk.To
		tailBatch.End = max(tailBatch.End, chunk.End)
	}
	if len(tailTotals) > 0 {
		tailBatch.Start, tailBatch.Lines = tailBatch.End, tailTotals.lines()
		sealed.Batches = append(sealed.Batches, tailBatch)
	}
	return sealed, true
}

// lastBatchNumber returns the number of the last batch, or zero. Every
// checkpoint of a source includes its newest batch, so numbers are never
// reused.
func lastBatchNumber(batches []Batch) uint64 {
	if len(batches) == 0 {
		return 0
	}
	return batches[len(batches)-1].Number
}
