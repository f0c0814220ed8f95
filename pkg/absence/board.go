package absence

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// KeyPrefix starts the keys of the announcements, one for each host that made
	// one, so that none replaces another host's before all daemons heard it.
	KeyPrefix external.Key = "engines/away/"
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// keptFor is how long an announcement stays in the store for daemons that can't
	// read it at once. Those that begin later leave it alone.
	keptFor = 30 * time.Second
)

// Options are what a Board works with.
type Options struct {
	// Host is whose announcements the board makes.
	Host  ident.Host
	Store external.Store
	// Heard takes in each new announcement. The times count from then on.
	Heard func(away []backlog.Away)
	Log   *slog.Logger
}

// Board makes announcements and hears those of others.
type Board struct {
	opts Options

	mu sync.Mutex
	// versions are those of the announcements that stand in the store as far as is
	// known; read says that the store was read once.
	versions map[external.Key]external.Version
	read     bool
}

var _ mirror.Listener = (*Board)(nil)

// New returns a board that knows of no announcement.
func New(opts Options) *Board {
	return &Board{opts: opts, versions: make(map[external.Key]external.Version)}
}

// Follows reports whether a key holds an announcement.
func (b *Board) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(KeyPrefix))
}

// Outage does nothing: what was announced ends by itself.
func (b *Board) Outage(_, _ time.Time) {}

// Apply takes in new announcements. Those that are found at the start may be old
// and are left alone, and so are those that are read again.
func (b *Board) Apply(entries []external.Entry, whole bool, _ time.Time) {
	for _, entry := range b.unheard(entries, whole) {
		b.take(&entry)
	}
}

// unheard notes the versions of announcements and returns those that were made
// since the store was first read.
func (b *Board) unheard(entries []external.Entry, whole bool) []external.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.versions
	if whole {
		b.versions = make(map[external.Key]external.Version, len(entries))
	}
	var fresh []external.Entry
	for i := range entries {
		entry := &entries[i]
		if entry.Deleted {
			delete(b.versions, entry.Key)
			continue
		}
		if b.read && entry.Version > known[entry.Key] {
			fresh = append(fresh, *entry)
		}
		b.versions[entry.Key] = entry.Version
	}
	b.read = b.read || whole
	return fresh
}

// take hands an announcement on.
func (b *Board) take(entry *external.Entry) {
	var away []backlog.Away
	if err := json.Unmarshal(entry.Value, &away); err != nil {
		b.opts.Log.Error("announcement of engines unreadable", "key", entry.Key, "version", entry.Version, "error", err)
		return
	}
	b.opts.Log.Info("engines away", "engines", len(away), "key", entry.Key, "version", entry.Version)
	b.opts.Heard(away)
}

// Announce replaces the host's announcement. It fails where the store did not
// confirm the write, with whatever the store failed with.
func (b *Board) Announce(ctx context.Context, away []backlog.Away) error {
	value, err := json.Marshal(away)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := b.opts.Store.Grant(ctx, keptFor)
	if err != nil {
		return err
	}
	key := KeyPrefix + external.Key(b.opts.Host)
	swap := external.Swap{Key: key, Value: value, Lease: lease, Base: b.known(key)}
	_, err = b.opts.Store.CompareAndSwap(ctx, swap)
	if !errors.Is(err, external.ErrVersionConflict) {
		return err
	}
	entry, err := b.opts.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	swap.Base = entry.Version
	_, err = b.opts.Store.CompareAndSwap(ctx, swap)
	return err
}

// known returns the version that an announcement is known to stand at.
func (b *Board) known(key external.Key) external.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[key]
}
