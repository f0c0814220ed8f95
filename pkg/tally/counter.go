package tally

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

const (
	// checkpointEvery is the time between two checkpoints. What a kill loses
	// lies between them.
	checkpointEvery = time.Second
	// daemonsPerWrite is how many daemons share one write a second: a larger
	// fleet writes less often, up to longestUnwritten, and a neighbour keeps
	// the checkpoints between.
	daemonsPerWrite  = 20
	longestUnwritten = 4 * time.Second
	// publishTimeout bounds one write.
	publishTimeout = 900 * time.Millisecond
	// leaveRetry is the pause between tries to write the last checkpoint.
	leaveRetry = 300 * time.Millisecond
	// keepWindows is how many windows a checkpoint holds at most, so that a
	// window which is closed late after an outage still finds its counts.
	keepWindows = 24
)

// CounterOptions are what a Counter works with.
type CounterOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Store       external.Store
	Time        *TrueTime
	// Window is the length of a window.
	Window time.Duration
	// Daemons counts the daemons of the fleet, this one included.
	Daemons func() int
	// HandOver has another daemon keep a checkpoint, and write it where this one
	// could not or falls silent. It may be nil.
	HandOver func(parcel Parcel)
	Log      *slog.Logger
}

// Counter counts the requests that began to run through one daemon.
type Counter struct {
	opts CounterOptions

	mu      sync.Mutex
	windows map[Window]Counts
	// closed is the newest window that is known to be closed.
	closed Window

	// publishing lets one write run at a time and guards version, the
	// checkpoint's version in the store.
	publishing sync.Mutex
	version    external.Version
}

// NewCounter returns a counter that has counted nothing.
func NewCounter(opts CounterOptions) *Counter {
	return &Counter{opts: opts, windows: make(map[Window]Counts)}
}

// Begun counts one request that began to run just now.
func (c *Counter) Begun(workspace ident.Workspace) {
	window := windowOf(c.opts.Time.Now(), c.opts.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.windows[window]
	if !ok {
		counts = make(Counts)
		c.windows[window] = counts
	}
	counts[workspace]++
}

// Run writes checkpoints until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	unwritten := longestUnwritten
	return clock.Every(ctx, checkpointEvery, func() error {
		unwritten += checkpointEvery
		if unwritten < c.writeEvery() {
			c.deposit()
			return nil
		}
		unwritten = 0
		if err := c.publish(ctx, false); err != nil && ctx.Err() == nil {
			c.opts.Log.Debug("usage checkpoint not written", "error", err)
			unwritten = longestUnwritten
		}
		return nil
	})
}

// writeEvery returns the time between two checkpoints that reach the store.
func (c *Counter) writeEvery() time.Duration {
	share := time.Duration(c.opts.Daemons()) * time.Second / daemonsPerWrite
	return min(longestUnwritten, share)
}

// deposit has another daemon keep the present checkpoint.
func (c *Counter) deposit() {
	_, value, err := c.checkpoint(false)
	if err != nil {
		c.opts.Log.Error("usage checkpoint not encoded", "error", err)
		return
	}
	c.handOver(Parcel{Checkpoint: value})
}

// handOver gives a checkpoint to another daemon, where there is one.
func (c *Counter) handOver(parcel Parcel) {
	if c.opts.HandOver != nil {
		c.opts.HandOver(parcel)
	}
}

// Leave writes the last checkpoint of a planned stop. It tries again for as long
// as ctx lets it.
func (c *Counter) Leave(ctx context.Context) error {
	for {
		err := c.publish(ctx, true)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaveRetry):
		}
	}
}

// publish writes a checkpoint. What fails is made good by the next.
func (c *Counter) publish(ctx context.Context, left bool) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	c.publishing.Lock()
	defer c.publishing.Unlock()
	key, value, err := c.checkpoint(left)
	if err != nil {
		return err
	}
	version, err := c.opts.Store.CompareAndSwap(ctx, external.Swap{Key: key, Base: c.version, Value: value})
	switch {
	case err == nil:
		c.version = version
	case errors.Is(err, external.ErrVersionConflict):
		// Only this life writes the key: a write whose answer was lost was made
		// after all, or the checkpoint was removed as abandoned.
		c.version = c.standing(ctx, key)
	default:
		c.handOver(Parcel{Checkpoint: value, Refused: true})
	}
	return err
}

// standing returns the version that the checkpoint stands at.
func (c *Counter) standing(ctx context.Context, key external.Key) external.Version {
	entry, err := c.opts.Store.Get(ctx, key)
	if errors.Is(err, external.ErrKeyNotFound) {
		return external.NoVersion
	}
	if err != nil {
		return c.version
	}
	return entry.Version
}

// checkpoint returns the present checkpoint with its key.
func (c *Counter) checkpoint(left bool) (external.Key, []byte, error) {
	now := c.opts.Time.Now()
	oldest := windowOf(now, c.opts.Window) - keepWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest = max(oldest, c.closed+1)
	for window := range c.windows {
		if window < oldest {
			delete(c.windows, window)
		}
	}
	checkpoint := Checkpoint{
		Host: c.opts.Host, Incarnation: c.opts.Incarnation, Through: now, Left: left, Windows: c.windows,
	}
	value, err := encode(&checkpoint)
	return checkpoint.key(), value, err
}

// incarnationText writes an incarnation for a key.
func incarnationText(incarnation ident.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 36)
}
