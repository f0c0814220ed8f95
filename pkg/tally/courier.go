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
	// flushEvery is the time between attempts to write the held checkpoints.
	flushEvery = time.Second
	// takeOverAfter is how long a held checkpoint waits for a newer one before it
	// is written in place of its daemon.
	takeOverAfter = 2500 * time.Millisecond
	// maxHeld bounds the held checkpoints. Further ones are dropped; their daemons
	// send newer ones.
	maxHeld = 64
)

// Courier holds checkpoints of other daemons. It writes those of daemons that
// can't reach the store themselves or that have fallen silent.
type Courier struct {
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

// NewCourier returns a courier that holds nothing.
func NewCourier(store external.Store, log *slog.Logger) *Courier {
	return &Courier{store: store, log: log, held: make(map[external.Key]heldCheckpoint)}
}

// Take holds another daemon's checkpoint until it is written or replaced by a
// newer one.
func (c *Courier) Take(parcel Parcel) error {
	checkpoint, err := DecodeCheckpoint(parcel.Checkpoint)
	if err != nil {
		return err
	}
	key := checkpoint.key()
	due := time.Now()
	if !parcel.Refused {
		due = due.Add(takeOverAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.held[key]
	if !ok && len(c.held) >= maxHeld {
		return nil
	}
	if !ok || known.checkpoint.Through.Before(checkpoint.Through) {
		c.held[key] = heldCheckpoint{checkpoint: checkpoint, due: due}
	}
	return nil
}

// Run writes the held checkpoints that are due until ctx ends.
func (c *Courier) Run(ctx context.Context) error {
	return clock.Every(ctx, flushEvery, func() error {
		c.flush(ctx)
		return nil
	})
}

// due returns the checkpoints that are due to be written.
func (c *Courier) due() []Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var waiting []Checkpoint
	for _, candidate := range c.held {
		if !candidate.due.After(now) {
			waiting = append(waiting, candidate.checkpoint)
		}
	}
	return waiting
}

// flush tries once to write each checkpoint that is due.
func (c *Courier) flush(ctx context.Context) {
	waiting := c.due()
	for i := range waiting {
		if err := c.write(ctx, &waiting[i]); err != nil {
			c.log.Debug("another daemon's usage not written", "host", waiting[i].Host, "error", err)
			continue
		}
		c.drop(&waiting[i])
	}
}

// drop removes a written checkpoint unless a newer one has replaced it.
func (c *Courier) drop(written *Checkpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.held[written.key()]; !known.checkpoint.Through.After(written.Through) {
		delete(c.held, written.key())
	}
}

// write stores a checkpoint unless the store has it or a newer one.
func (c *Courier) write(ctx context.Context, checkpoint *Checkpoint) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, checkpoint.key())
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	if err == nil {
		stored, err := DecodeCheckpoint(entry.Value)
		if err != nil {
			return err
		}
		if !stored.Through.Before(checkpoint.Through) {
			return nil
		}
	}
	value, err := encode(checkpoint)
	if err != nil {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, external.Swap{Key: checkpoint.key(), Base: entry.Version, Value: value})
	return err
}
