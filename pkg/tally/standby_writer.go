package tally

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
)

const (
	// flushInterval is the time between attempts to write the held checkpoints.
	flushInterval = time.Second
	// takeOverAfter is how long a held checkpoint waits for a newer one before it is
	// written, if its daemon could still write to the store itself.
	takeOverAfter = 2500 * time.Millisecond
	// maxHeld bounds the held checkpoints. Further ones are dropped; their daemons
	// send newer ones.
	maxHeld = 64
)

// StandbyWriter holds checkpoints of other daemons. It writes those of daemons
// that can't reach the store themselves or that stopped sending.
type StandbyWriter struct {
	store external.Store
	log   *slog.Logger

	mu sync.Mutex
	// held maps the key of each incarnation to its newest checkpoint.
	held map[external.Key]heldCheckpoint
}

// heldCheckpoint is a checkpoint that waits to be written.
type heldCheckpoint struct {
	checkpoint Checkpoint
	// due is when it is written, unless a newer one replaces it before.
	due time.Time
}

// NewStandbyWriter returns a writer that holds nothing.
func NewStandbyWriter(store external.Store, log *slog.Logger) *StandbyWriter {
	return &StandbyWriter{store: store, log: log, held: make(map[external.Key]heldCheckpoint)}
}

// Hold holds another daemon's checkpoint until it is written or replaced by a
// newer one.
func (w *StandbyWriter) Hold(message CheckpointMessage) error {
	checkpoint, err := DecodeCheckpoint(message.Checkpoint)
	if err != nil {
		return err
	}
	key := checkpoint.key()
	due := time.Now()
	if !message.Refused {
		due = due.Add(takeOverAfter)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.held[key]
	if !ok && len(w.held) >= maxHeld {
		return nil
	}
	if !ok || known.checkpoint.Through.Before(checkpoint.Through) {
		w.held[key] = heldCheckpoint{checkpoint: checkpoint, due: due}
	}
	return nil
}

// Run writes the held checkpoints that are due until ctx ends.
func (w *StandbyWriter) Run(ctx context.Context) error {
	return clock.Every(ctx, flushInterval, func() error {
		w.flush(ctx)
		return nil
	})
}

// due returns the checkpoints that are due to be written.
func (w *StandbyWriter) due() []Checkpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var waiting []Checkpoint
	for _, candidate := range w.held {
		if !candidate.due.After(now) {
			waiting = append(waiting, candidate.checkpoint)
		}
	}
	return waiting
}

// flush tries once to write each checkpoint that is due.
func (w *StandbyWriter) flush(ctx context.Context) {
	waiting := w.due()
	for i := range waiting {
		if err := w.write(ctx, &waiting[i]); err != nil {
			w.log.Debug("another daemon's usage checkpoint not written", "host", waiting[i].Host, "error", err)
			continue
		}
		w.drop(&waiting[i])
	}
}

// drop removes a written checkpoint unless a newer one has replaced it.
func (w *StandbyWriter) drop(written *Checkpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.held[written.key()]; !known.checkpoint.Through.After(written.Through) {
		delete(w.held, written.key())
	}
}

// write stores a checkpoint unless the store has it or a newer one.
func (w *StandbyWriter) write(ctx context.Context, checkpoint *Checkpoint) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	entry, err := w.store.Get(ctx, checkpoint.key())
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	if err == nil {
		stored, err := DecodeCheckpoint(entry.Value)
		if err != nil {
			return errors.Wrapf(err, "decode %s", entry.Key)
		}
		if !stored.Through.Before(checkpoint.Through) {
			return nil
		}
	}
	value, err := encode(checkpoint)
	if err != nil {
		return err
	}
	_, err = w.store.CompareAndSwap(ctx, external.Swap{Key: checkpoint.key(), Base: entry.Version, Value: value})
	return err
}
