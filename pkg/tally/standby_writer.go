package tally

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
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
	// maxHops bounds how often a checkpoint is passed on by daemons that the store
	// refuses.
	maxHops = 8
)

// StandbyWriter holds checkpoints of other daemons. It writes those of daemons
// that can't reach the store themselves or that stopped sending.
type StandbyWriter struct {
	store external.Store
	log   *slog.Logger
	// forward passes a checkpoint on to another daemon, or is nil. It reports false if
	// there is none.
	forward func(message CheckpointMessage) bool

	mu sync.Mutex
	// held maps the key of each incarnation to its newest checkpoint.
	held map[external.Key]heldCheckpoint
	// stored holds the checkpoints that the store was last seen to hold.
	stored map[external.Key]external.Entry
	// refusedAt is when the store last refused a write.
	refusedAt time.Time

	// hosts is the number of hosts that the stored checkpoints are of.
	hosts atomic.Int64
}

// heldCheckpoint is a checkpoint that waits to be written.
type heldCheckpoint struct {
	checkpoint Checkpoint
	// due is when it is written, unless a newer one replaces it before.
	due time.Time
	// refused is set if it is to be written although its daemon continues to send.
	refused bool
	// hops is how often it was passed on.
	hops int
}

// NewStandbyWriter returns a writer that holds nothing.
func NewStandbyWriter(store external.Store, log *slog.Logger) *StandbyWriter {
	return &StandbyWriter{
		store: store, log: log, held: make(map[external.Key]heldCheckpoint), stored: make(map[external.Key]external.Entry),
	}
}

// ForwardWith sets what passes a checkpoint on to another daemon if the store refuses
// this one. It reports false if there is no other. It must be set before Run.
func (w *StandbyWriter) ForwardWith(forward func(message CheckpointMessage) bool) {
	w.forward = forward
}

// observe records changed checkpoints in the store, or all if whole is set.
func (w *StandbyWriter) observe(entries []external.Entry, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if whole {
		clear(w.stored)
	}
	for i := range entries {
		if entries[i].Deleted {
			delete(w.stored, entries[i].Key)
			continue
		}
		w.stored[entries[i].Key] = entries[i]
	}
	if whole || len(entries) > 0 {
		w.hosts.Store(int64(countHosts(w.stored)))
	}
}

// countHosts returns the number of hosts that checkpoints are of.
func countHosts(stored map[external.Key]external.Entry) int {
	hosts := make(map[string]bool, len(stored))
	for key := range stored {
		host, _, _ := strings.Cut(strings.TrimPrefix(string(key), string(CheckpointPrefix)), "/")
		hosts[host] = true
	}
	return len(hosts)
}

// Hosts returns the number of hosts of which the store has a checkpoint. A host that has
// ended, or can't reach the store, is counted for removeAfter.
func (w *StandbyWriter) Hosts() int { return int(w.hosts.Load()) }

// lastStored returns a checkpoint as the store was last seen to hold it, or the zero
// Entry.
func (w *StandbyWriter) lastStored(key external.Key) external.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stored[key]
}

// Hold holds another daemon's checkpoint until it is written or replaced by a
// newer one.
func (w *StandbyWriter) Hold(message CheckpointMessage) error {
	checkpoint, err := DecodeCheckpoint(message.Checkpoint)
	if err != nil {
		return err
	}
	if message.Refused && w.refusedLately() && w.pass(&heldCheckpoint{checkpoint: checkpoint, hops: message.Hops}) {
		return nil
	}
	w.hold(&checkpoint, message.Refused, message.Hops)
	return nil
}

// hold holds a checkpoint, until it is due, in the place of an older one. One that is to
// be written is not put off by newer ones that are not.
func (w *StandbyWriter) hold(checkpoint *Checkpoint, refused bool, hops int) {
	next := heldCheckpoint{checkpoint: *checkpoint, due: time.Now(), refused: refused, hops: hops}
	if !refused {
		next.due = next.due.Add(takeOverAfter)
	}
	key := checkpoint.key()
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.held[key]
	switch {
	case !ok && len(w.held) >= maxHeld:
		return
	case ok && !known.checkpoint.Through.Before(checkpoint.Through):
		return
	case known.refused && known.due.Before(next.due):
		next.due, next.refused = known.due, true
	}
	w.held[key] = next
}

// Run writes the held checkpoints that are due until ctx ends.
func (w *StandbyWriter) Run(ctx context.Context) error {
	return clock.Every(ctx, flushInterval, func() error {
		w.flush(ctx)
		return nil
	})
}

// refusedLately reports whether the store refused this daemon within takeOverAfter.
func (w *StandbyWriter) refusedLately() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.refusedAt.IsZero() && time.Since(w.refusedAt) < takeOverAfter
}

// due returns the checkpoints that are due to be written.
func (w *StandbyWriter) due() []heldCheckpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var waiting []heldCheckpoint
	for _, candidate := range w.held {
		if !candidate.due.After(now) {
			waiting = append(waiting, candidate)
		}
	}
	return waiting
}

// flush tries once to write each checkpoint that is due. Once the store refuses this
// daemon, the rest is left to others.
func (w *StandbyWriter) flush(ctx context.Context) {
	waiting := w.due()
	for i := range waiting {
		checkpoint := &waiting[i].checkpoint
		err := w.write(ctx, checkpoint)
		if err == nil {
			w.drop(checkpoint)
			continue
		}
		w.log.Debug("another daemon's usage checkpoint not written", "host", checkpoint.Host, "error", err)
		if kind := fault.KindOf(err); kind == fault.Unavailable || kind == fault.Limited {
			w.postpone(waiting[i:])
			return
		}
	}
}

// postpone passes checkpoints on to other daemons. Those that can't be passed on are
// tried again after takeOverAfter.
func (w *StandbyWriter) postpone(waiting []heldCheckpoint) {
	w.mu.Lock()
	w.refusedAt = time.Now()
	w.mu.Unlock()
	for i := range waiting {
		if w.pass(&waiting[i]) {
			w.drop(&waiting[i].checkpoint)
			continue
		}
		w.delay(&waiting[i].checkpoint)
	}
}

// delay has a checkpoint wait for takeOverAfter, unless a newer one has replaced it.
func (w *StandbyWriter) delay(checkpoint *Checkpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, ok := w.held[checkpoint.key()]
	if ok && held.checkpoint.Through.Equal(checkpoint.Through) {
		held.due = time.Now().Add(takeOverAfter)
		w.held[checkpoint.key()] = held
	}
}

// pass passes a checkpoint on to another daemon unless that was done maxHops times, and
// reports whether it was sent.
func (w *StandbyWriter) pass(held *heldCheckpoint) bool {
	if w.forward == nil || held.hops >= maxHops {
		return false
	}
	value, err := encode(&held.checkpoint)
	return err == nil && w.forward(CheckpointMessage{Checkpoint: value, Refused: true, Hops: held.hops + 1})
}

// drop removes a written checkpoint unless a newer one has replaced it.
func (w *StandbyWriter) drop(written *Checkpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.held[written.key()]; !known.checkpoint.Through.After(written.Through) {
		delete(w.held, written.key())
	}
}

// write stores a checkpoint unless the store has it or a newer one. The store is read
// only if it holds another than it was last seen to hold.
func (w *StandbyWriter) write(ctx context.Context, checkpoint *Checkpoint) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := w.replace(ctx, w.lastStored(checkpoint.key()), checkpoint)
	if !errors.Is(err, external.ErrVersionConflict) {
		return err
	}
	entry, err := w.store.Get(ctx, checkpoint.key())
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	return w.replace(ctx, entry, checkpoint)
}

// replace writes a checkpoint over the stored entry, which is the zero Entry if there is
// none, unless that is as new.
func (w *StandbyWriter) replace(ctx context.Context, entry external.Entry, checkpoint *Checkpoint) error {
	if entry.Version != external.NoVersion {
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
