package usage

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// sourceState is the usage of one incarnation of a daemon. It reads no clock, and
// its caller serializes access to it.
type sourceState struct {
	id SourceID
	// sequence is the number of the last record.
	sequence uint64
	// closed are the closed batches that some shard has not reported.
	closed []Batch
	// open is the batch of the current window; openTotals are its counts.
	open       Batch
	openTotals totals
	// chunks hold the records after storedThrough that have been cut into
	// chunks; pending holds the records after the last chunk.
	chunks  []Chunk
	pending totals
	// pendingFrom is the number of the first pending record.
	pendingFrom uint64
	// storedThrough is the last record known to be in the stored checkpoint.
	storedThrough uint64
}

// newSourceState returns the state of an incarnation without records.
func newSourceState(id SourceID, now Timestamp, length time.Duration) *sourceState {
	s := &sourceState{id: id, pendingFrom: 1}
	s.startBatch(1, now.align(length), length)
	return s
}

// startBatch opens a batch, which ends at the next boundary of the given length.
// The windows of a source don't overlap, so a change of the length applies from
// the next window on.
func (s *sourceState) startBatch(number uint64, start Timestamp, length time.Duration) {
	s.open = Batch{Number: number, Start: start, End: start.align(length).add(length)}
	s.openTotals = make(totals)
	s.pending = make(totals)
}

// record counts one request.
func (s *sourceState) record(record Record, length time.Duration) {
	s.sequence++
	usedIn := timestampOf(record.At).align(length)
	key := lineKey{Workspace: record.Workspace, Model: record.Model, Service: record.Service, UsedIn: usedIn}
	delta := counts{Requests: 1, PromptTokens: record.Tokens.PromptTokens, OutputTokens: record.Tokens.OutputTokens}
	s.openTotals.add(key, delta)
	s.pending.add(key, delta)
}

// cutChunk turns the pending records into a chunk.
func (s *sourceState) cutChunk() {
	if s.pendingFrom > s.sequence {
		return
	}
	s.chunks = append(s.chunks, Chunk{From: s.pendingFrom, To: s.sequence, End: s.open.End, Lines: s.pending.lines()})
	s.pendingFrom = s.sequence + 1
	s.pending = make(totals)
}

// rollOver closes the open batch and starts the next one if the window has
// ended. Before the first record it restarts the batch with the given length
// instead, since the source may have started before the configuration was read.
func (s *sourceState) rollOver(now Timestamp, length time.Duration) {
	if s.sequence == 0 {
		s.startBatch(s.open.Number, now.align(length), length)
		return
	}
	if now < s.open.End {
		return
	}
	s.cutChunk()
	s.closeBatch()
	s.startBatch(s.open.Number+1, max(s.open.End, now.align(length)), length)
}

// closeBatch appends the open batch to the closed ones.
func (s *sourceState) closeBatch() {
	s.open.Closed = true
	s.open.Lines = s.openTotals.lines()
	s.closed = append(s.closed, s.open)
}

// checkpoint cuts a chunk and returns a checkpoint that ends with it.
func (s *sourceState) checkpoint() Checkpoint {
	s.cutChunk()
	open := s.open
	open.Lines = s.openTotals.lines()
	return Checkpoint{Source: s.id, Sequence: s.sequence, Batches: append(slices.Clone(s.closed), open)}
}

// markStored records that the stored checkpoint includes the records through the
// given one, and drops the chunks of those records.
func (s *sourceState) markStored(through uint64) {
	s.storedThrough = max(s.storedThrough, through)
	s.chunks = slices.DeleteFunc(s.chunks, func(c Chunk) bool { return c.To <= s.storedThrough })
}

// dropReported drops the batches up to the given number, which every shard has
// reported.
func (s *sourceState) dropReported(number uint64) {
	s.closed = slices.DeleteFunc(s.closed, func(b Batch) bool { return b.Number <= number })
}

// successor returns the state of the next incarnation, which holds the records
// after the sealed ones. Chunks are sealed whole or not at all.
func (s *sourceState) successor(sealed uint64, incarnation ident.Incarnation, now Timestamp, length time.Duration) *sourceState {
	s.cutChunk()
	next := newSourceState(SourceID{Host: s.id.Host, Incarnation: incarnation}, now, length)
	for _, chunk := range s.chunks {
		if chunk.From <= sealed {
			continue
		}
		next.openTotals.addAll(chunk.Lines)
		next.pending.addAll(chunk.Lines)
		next.sequence += chunk.To - chunk.From + 1
	}
	return next
}
