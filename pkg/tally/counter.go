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
	// checkpointInterval is the time between two checkpoints. A daemon that is killed
	// loses the counts since the last one.
	checkpointInterval = time.Second
	// fleetWritesPerSecond is the target rate of store writes of the whole fleet.
	// In a larger fleet each daemon writes less often, but at least once in
	// maxWriteInterval, and hands the checkpoints between two writes to another
	// daemon.
	fleetWritesPerSecond = 20
	maxWriteInterval     = 4 * time.Second
	// publishTimeout bounds one write.
	publishTimeout = 900 * time.Millisecond
	// leaveRetry is the pause between attempts to write the last checkpoint.
	leaveRetry = 300 * time.Millisecond
	// maxWindows is how many windows back a checkpoint holds counts, so that a
	// window closed late after an outage still has them.
	maxWindows = 24
)

// CounterOptions configure a Counter.
type CounterOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Store       external.Store
	Time        *SteadyWallClock
	// Window is the length of a window.
	Window time.Duration
	// Daemons counts the daemons of the fleet, this one included.
	Daemons func() int
	// HandOver sends a checkpoint to another daemon, which writes it if this one
	// could not or stops sending. It may be nil.
	HandOver func(message CheckpointMessage)
	Log      *slog.Logger
}

// Counter counts the requests that one daemon started.
type Counter struct {
	opts CounterOptions

	mu      sync.Mutex
	windows map[Window]Counts
	// closed is the newest window known to be closed.
	closed Window
	// left is set once a checkpoint was marked as the last.
	left bool

	// publishing serializes the writes and guards version, the version of the
	// checkpoint in the store.
	publishing sync.Mutex
	version    external.Version
	// refusedAt is when a checkpoint was last handed over for another daemon to
	// write. It is guarded by publishing.
	refusedAt time.Time
}

// NewCounter returns an empty counter.
func NewCounter(opts CounterOptions) *Counter {
	return &Counter{opts: opts, windows: make(map[Window]Counts)}
}

// RequestStarted counts a request that started now.
func (c *Counter) RequestStarted(workspace ident.Workspace) {
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

// Run writes checkpoints or hands them over until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	sinceWrite := maxWriteInterval
	era, _ := external.EraOf(c.opts.Store)
	return clock.Every(ctx, checkpointInterval, func() error {
		sinceWrite += checkpointInterval
		if now, _ := external.EraOf(c.opts.Store); now != era {
			// The store has lost the checkpoint or went back to an older one.
			era, sinceWrite = now, maxWriteInterval
			c.refreshVersion(ctx)
		}
		if sinceWrite < c.writeInterval() {
			c.handOverCurrent()
			return nil
		}
		sinceWrite = 0
		if err := c.publish(ctx, false); err != nil && ctx.Err() == nil {
			c.opts.Log.Debug("usage checkpoint not written", "error", err)
			sinceWrite = maxWriteInterval
		}
		return nil
	})
}

// writeInterval returns the time between two writes to the store.
func (c *Counter) writeInterval() time.Duration {
	interval := time.Duration(c.opts.Daemons()) * time.Second / fleetWritesPerSecond
	return min(maxWriteInterval, interval)
}

// handOverCurrent sends the current checkpoint to another daemon.
func (c *Counter) handOverCurrent() {
	_, value, err := c.checkpoint(false)
	if err != nil {
		c.opts.Log.Error("usage checkpoint not encoded", "error", err)
		return
	}
	c.handOver(CheckpointMessage{Checkpoint: value})
}

// handOver sends a checkpoint to another daemon if HandOver is set.
func (c *Counter) handOver(message CheckpointMessage) {
	if c.opts.HandOver != nil {
		c.opts.HandOver(message)
	}
}

// Leave writes the last checkpoint before a graceful shutdown. It retries until ctx
// ends.
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

// publish writes a checkpoint. After a failure the next one contains the same
// counts.
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
		// The key holds only checkpoints of this incarnation: a write whose response
		// was lost took effect, another daemon wrote one that it held, or the
		// checkpoint was removed as stale.
		c.version = c.storedVersion(ctx, key)
	default:
		c.handOver(CheckpointMessage{Checkpoint: value, Refused: c.mustBeWritten(left)})
	}
	return err
}

// mustBeWritten reports whether another daemon is to write a checkpoint that the store
// refused: as often as this daemon would, and each second of a stop. In between it is
// only held. publishing must be locked.
func (c *Counter) mustBeWritten(left bool) bool {
	interval := max(c.writeInterval(), checkpointInterval)
	if left {
		interval = checkpointInterval
	}
	if !c.refusedAt.IsZero() && time.Since(c.refusedAt) < interval-checkpointInterval/2 {
		return false
	}
	c.refusedAt = time.Now()
	return true
}

// refreshVersion reads the version of the checkpoint in the store.
func (c *Counter) refreshVersion(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	c.publishing.Lock()
	defer c.publishing.Unlock()
	checkpoint := Checkpoint{Host: c.opts.Host, Incarnation: c.opts.Incarnation}
	c.version = c.storedVersion(ctx, checkpoint.key())
}

// storedVersion returns the checkpoint's version in the store, or the last known
// one if it can't be read.
func (c *Counter) storedVersion(ctx context.Context, key external.Key) external.Version {
	entry, err := c.opts.Store.Get(ctx, key)
	if errors.Is(err, external.ErrKeyNotFound) {
		return external.NoVersion
	}
	if err != nil {
		return c.version
	}
	return entry.Version
}

// checkpoint drops the counts of closed and old windows, and returns the current
// checkpoint in its stored form with its key. Once one was marked as the last, those of
// periodic writes that come after it are too.
func (c *Counter) checkpoint(left bool) (external.Key, []byte, error) {
	now := c.opts.Time.Now()
	oldest := windowOf(now, c.opts.Window) - maxWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest = max(oldest, c.closed+1)
	for window := range c.windows {
		if window < oldest {
			delete(c.windows, window)
		}
	}
	c.left = c.left || left
	checkpoint := Checkpoint{
		Host: c.opts.Host, Incarnation: c.opts.Incarnation, Through: now, Left: c.left, Windows: c.windows,
	}
	value, err := encode(&checkpoint)
	return checkpoint.key(), value, err
}

// incarnationText formats an incarnation for a key.
func incarnationText(incarnation ident.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 36)
}
