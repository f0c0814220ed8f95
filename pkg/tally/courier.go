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
	// courierEvery is the time between tries to write what others left here.
	courierEvery = time.Second
	// silentAfter is how long a daemon that sends no newer checkpoint counts as
	// able to write its own.
	silentAfter = 2500 * time.Millisecond
	// maxParcels bounds the checkpoints that wait here. Further ones are not
	// taken; their daemons send them again.
	maxParcels = 64
)

// Courier keeps the checkpoints of other daemons. It writes those of daemons
// that can't reach the store themselves, or that have fallen silent.
type Courier struct {
	store external.Store
	log   *slog.Logger

	mu sync.Mutex
	// parcels are the newest checkpoints of each daemon's life.
	parcels map[external.Key]kept
}

// kept is a checkpoint that waits here.
type kept struct {
	checkpoint Checkpoint
	// due is when it is to be written, unless a newer one comes before.
	due time.Time
}

// NewCourier returns a courier that has nothing to write.
func NewCourier(store external.Store, log *slog.Logger) *Courier {
	return &Courier{store: store, log: log, parcels: make(map[external.Key]kept)}
}

// Take keeps another daemon's checkpoint until it is written or a newer one
// comes.
func (c *Courier) Take(parcel Parcel) error {
	checkpoint, err := DecodeCheckpoint(parcel.Checkpoint)
	if err != nil {
		return err
	}
	key := checkpoint.key()
	due := time.Now()
	if !parcel.Refused {
		due = due.Add(silentAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.parcels[key]
	if !ok && len(c.parcels) >= maxParcels {
		return nil
	}
	if !ok || known.checkpoint.Through.Before(checkpoint.Through) {
		c.parcels[key] = kept{checkpoint: checkpoint, due: due}
	}
	return nil
}

// Run writes what was taken until ctx ends.
func (c *Courier) Run(ctx context.Context) error {
	return clock.Every(ctx, courierEvery, func() error {
		c.deliver(ctx)
		return nil
	})
}

// due returns the checkpoints that are to be written.
func (c *Courier) due() []Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var waiting []Checkpoint
	for _, parcel := range c.parcels {
		if !parcel.due.After(now) {
			waiting = append(waiting, parcel.checkpoint)
		}
	}
	return waiting
}

// deliver tries to write every checkpoint that is due once.
func (c *Courier) deliver(ctx context.Context) {
	waiting := c.due()
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
	if known := c.parcels[written.key()]; !known.checkpoint.Through.After(written.Through) {
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
