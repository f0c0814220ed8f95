package tally

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
)

const (
	// courierEvery is the time between tries to write what others left here.
	courierEvery = time.Second
	// maxParcels bounds the checkpoints that wait here. Further ones are not
	// taken; their daemons send them again.
	maxParcels = 64
)

// Courier writes the checkpoints of daemons that can't reach the store
// themselves.
type Courier struct {
	store external.Store
	log   *slog.Logger

	mu sync.Mutex
	// parcels are the newest checkpoints of each daemon's life.
	parcels map[external.Key]Checkpoint
}

// NewCourier returns a courier that has nothing to write.
func NewCourier(store external.Store, log *slog.Logger) *Courier {
	return &Courier{store: store, log: log, parcels: make(map[external.Key]Checkpoint)}
}

// Take keeps another daemon's checkpoint until it is written.
func (c *Courier) Take(value []byte) error {
	checkpoint, err := DecodeCheckpoint(value)
	if err != nil {
		return err
	}
	key := checkpoint.key()
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.parcels[key]
	if !ok && len(c.parcels) >= maxParcels {
		return nil
	}
	if !ok || known.Through.Before(checkpoint.Through) {
		c.parcels[key] = checkpoint
	}
	return nil
}

// Run writes what was taken until ctx ends.
func (c *Courier) Run(ctx context.Context) error {
	ticker := time.NewTicker(courierEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.deliver(ctx)
		}
	}
}

// deliver tries to write every checkpoint once.
func (c *Courier) deliver(ctx context.Context) {
	c.mu.Lock()
	waiting := make([]Checkpoint, 0, len(c.parcels))
	for _, checkpoint := range c.parcels {
		waiting = append(waiting, checkpoint)
	}
	c.mu.Unlock()
	for i := range waiting {
		if err := c.write(ctx, &waiting[i]); err != nil {
			c.log.Debug("another daemon's usage not written", "host", waiting[i].Host, "error", err)
			continue
		}
		c.drop(&waiting[i])
	}
}

// drop forgets a checkpoint, unless a newer one came.
func (c *Courier) drop(written *Checkpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.parcels[written.key()]; !known.Through.After(written.Through) {
		delete(c.parcels, written.key())
	}
}

// write puts a checkpoint into the store, unless a newer one stands there.
func (c *Courier) write(ctx context.Context, checkpoint *Checkpoint) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, checkpoint.key())
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	if err == nil {
		standing, err := DecodeCheckpoint(entry.Value)
		if err != nil {
			return err
		}
		if !standing.Through.Before(checkpoint.Through) {
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
