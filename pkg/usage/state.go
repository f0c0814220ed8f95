package usage

import (
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// state is what one life of a daemon knows of its own figures. It is a plain
// value without clock or locks.
type state struct {
	id SourceID
	// sequence is the number of the last record.
	sequence uint64
	// closed are the batches that some shard has not reported; they never
	// change.
	closed []Batch
	// open is the batch that records are added to, with its sums.
	open Batch
	sums sums
	// chunks are the records after the last checkpoint that surely took
	// effect, cut since; pending are those after the last cut.
	chunks  []Chunk
	pending sums
	// from is the number of the first pending record.
	from uint64
	// base is the last record that the checkpoint surely holds.
	base uint64
}

// newState returns the state of a life that has recorded nothing.
func newState(id SourceID, now Stamp, length time.Duration) *state {
	s := &state{id: id, from: 1}
	s.begin(1, now.align(length), length)
	return s
}

// begin opens a batch. The windows of a source follow each other, so that a
// change of the length takes effect from the next one on.
func (s *state) begin(number uint64, start Stamp, length time.Duration) {
	s.open = Batch{Number: number, Start: start, End: start.align(length).add(length)}
	s.sums = make(sums)
	s.pending = make(sums)
}

// record counts one request.
func (s *state) record(record Record, length time.Duration) {
	s.sequence++
	used := stampOf(record.At).align(length)
	to := subject{Workspace: record.Workspace, Model: record.Model, Service: record.Service, UsedIn: used}
	more := figures{Requests: 1, PromptTokens: record.Figures.PromptTokens, OutputTokens: record.Figures.OutputTokens}
	s.sums.add(to, more)
	s.pending.add(to, more)
}

// cut makes a chunk of the records since the last cut.
func (s *state) cut() {
	if s.from > s.sequence {
		return
	}
	s.chunks = append(s.chunks, Chunk{From: s.from, To: s.sequence, End: s.open.End, Lines: s.pending.lines()})
	s.from = s.sequence + 1
	s.pending = make(sums)
}

// roll closes the open batch where its window has ended. Before the first
// record the length in force holds at once, since the source may have begun
// before the configuration was read.
func (s *state) roll(now Stamp, length time.Duration) {
	if s.sequence == 0 {
		s.begin(s.open.Number, now.align(length), length)
		return
	}
	if now < s.open.End {
		return
	}
	s.cut()
	s.finish()
	s.begin(s.open.Number+1, max(s.open.End, now.align(length)), length)
}

// finish closes the open batch.
func (s *state) finish() {
	s.open.Closed = true
	s.open.Lines = s.sums.lines()
	s.closed = append(s.closed, s.open)
}

// checkpoint returns the figures at present, at the end of a chunk.
func (s *state) checkpoint() Checkpoint {
	s.cut()
	open := s.open
	open.Lines = s.sums.lines()
	return Checkpoint{Source: s.id, Sequence: s.sequence, Batches: append(slices.Clone(s.closed), open)}
}

// stored notes that the store holds a checkpoint through the given record.
func (s *state) stored(through uint64) {
	s.base = max(s.base, through)
	s.chunks = slices.DeleteFunc(s.chunks, func(c Chunk) bool { return c.To <= s.base })
}

// reported drops the batches that every shard has reported.
func (s *state) reported(number uint64) {
	s.closed = slices.DeleteFunc(s.closed, func(b Batch) bool { return b.Number <= number })
}

// after returns the state of the next life: it holds the records that come
// after those which were sealed. Chunks are sealed whole or not at all.
func (s *state) after(sealed uint64, incarnation ident.Incarnation, now Stamp, length time.Duration) *state {
	s.cut()
	next := newState(SourceID{Host: s.id.Host, Incarnation: incarnation}, now, length)
	for _, chunk := range s.chunks {
		if chunk.From <= sealed {
			continue
		}
		next.sums.addAll(chunk.Lines)
		next.pending.addAll(chunk.Lines)
		next.sequence += chunk.To - chunk.From + 1
	}
	return next
}
