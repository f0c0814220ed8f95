package absence

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// Key holds the newest announcement.
	Key external.Key = "engines/away"
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
)

// Options are what a Board works with.
type Options struct {
	Store external.Store
	// Heard takes in each new announcement. The times count from then on.
	Heard func(away []backlog.Away)
	Log   *slog.Logger
}

// Board makes announcements and hears those of others.
type Board struct {
	opts Options

	mu sync.Mutex
	// version is that of the newest announcement that is known; read says that
	// the store was read once.
	version external.Version
	read    bool
}

var _ mirror.Listener = (*Board)(nil)

// New returns a board that knows of no announcement.
func New(opts Options) *Board { return &Board{opts: opts} }

// Follows reports whether a key holds the announcement.
func (b *Board) Follows(key external.Key) bool { return key == Key }

// Outage does nothing: what was announced ends by itself.
func (b *Board) Outage(_, _ time.Time) {}

// Apply takes in the newest announcement. The one that is found at the start may
// be old and is left alone, and so is one that is read again.
func (b *Board) Apply(entries []external.Entry, whole bool, _ time.Time) {
	for i := range entries {
		if !entries[i].Deleted && b.newer(entries[i].Version) {
			b.take(&entries[i])
		}
	}
	if whole {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.read = true
	}
}

// newer notes an announcement's version and reports whether it came since the
// store was first read.
func (b *Board) newer(version external.Version) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.version {
		return false
	}
	b.version = version
	return b.read
}

// take hands an announcement on.
func (b *Board) take(entry *external.Entry) {
	var away []backlog.Away
	if err := json.Unmarshal(entry.Value, &away); err != nil {
		b.opts.Log.Error("announcement of engines unreadable", "version", entry.Version, "error", err)
		return
	}
	b.opts.Log.Info("engines away", "engines", len(away), "version", entry.Version)
	b.opts.Heard(away)
}

// Announce replaces the announcement. It fails where the store did not confirm
// the write, with whatever the store failed with.
func (b *Board) Announce(ctx context.Context, away []backlog.Away) error {
	value, err := json.Marshal(away)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	swap := external.Swap{Key: Key, Value: value, Base: b.known()}
	_, err = b.opts.Store.CompareAndSwap(ctx, swap)
	if !errors.Is(err, external.ErrVersionConflict) {
		return err
	}
	entry, err := b.opts.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	swap.Base = entry.Version
	_, err = b.opts.Store.CompareAndSwap(ctx, swap)
	return err
}

// known returns the version that the announcement is known to stand at.
func (b *Board) known() external.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}
