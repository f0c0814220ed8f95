package external

import (
	"context"
	"sync"
)

// Era counts how often the store has come back from an older copy of its data. Within
// one era the store loses nothing that it has acknowledged. A store that never does
// that, or that doesn't state so, is in era 0.
type Era uint64

// revisionBits is the number of low bits of a Version or Cursor that hold the store's
// own revision; the bits above hold the era. At 400 writes a second the revisions of
// one era last for 87 years, and 8,191 eras fit into the integers that a JSON number
// holds exactly.
const revisionBits = 40

// NewVersion returns the version of a key that the store, in the given era, has at the
// given revision. Versions of a later era are higher, whatever their revisions.
func NewVersion(era Era, revision uint64) Version {
	if revision == 0 {
		return NoVersion
	}
	return Version(uint64(era)<<revisionBits + revision)
}

// Era returns the era in which the version was read or written.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's own revision, which later eras may give out again.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// NewCursor returns the cursor for a revision of the store in an era.
func NewCursor(era Era, revision uint64) Cursor {
	return Cursor(uint64(era)<<revisionBits + revision)
}

// Era returns the era in which the cursor was read.
func (c Cursor) Era() Era { return Era(c >> revisionBits) }

// Revision returns the store's own revision.
func (c Cursor) Revision() uint64 { return uint64(c) & (1<<revisionBits - 1) }

// EraSource is implemented by a Store that knows the store's era.
type EraSource interface {
	// Era returns the highest known era, and a channel that is closed once a higher
	// one is known.
	Era() (Era, <-chan struct{})
}

// EraOf returns the store's era if the store is an EraSource, else era 0 and a nil
// channel.
func EraOf(store Store) (Era, <-chan struct{}) {
	if source, ok := store.(EraSource); ok {
		return source.Era()
	}
	return 0, nil
}

// EraRecorder collects the eras of the store's answers to one call, which may take
// several requests.
type EraRecorder struct {
	mu        sync.Mutex
	answered  bool
	low, high Era
}

// Eras returns the lowest and the highest era of the answers, or false if no answer
// was received.
func (r *EraRecorder) Eras() (low, high Era, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.low, r.high, r.answered
}

// record adds the era of one answer.
func (r *EraRecorder) record(era Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answered {
		r.low, r.high = era, era
	}
	r.answered = true
	r.low, r.high = min(r.low, era), max(r.high, era)
}

// eraRecorderKey is the context key of the EraRecorder.
type eraRecorderKey struct{}

// WithEraRecorder returns a context whose calls to a Store record the eras of their
// answers.
func WithEraRecorder(ctx context.Context, recorder *EraRecorder) context.Context {
	return context.WithValue(ctx, eraRecorderKey{}, recorder)
}

// RecordEra records the era of an answer to a call with this context. Stores call it
// for every answer, also for refusals.
func RecordEra(ctx context.Context, era Era) {
	if recorder, ok := ctx.Value(eraRecorderKey{}).(*EraRecorder); ok {
		recorder.record(era)
	}
}
