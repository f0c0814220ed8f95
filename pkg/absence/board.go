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
	// KeyPrefix is the key prefix of the announcements. Each host has its own key,
	// so that none overwrites another host's announcement before all daemons have
	// read it.
	KeyPrefix external.Key = "engines/away/"
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// announcementTTL is how long an announcement stays in the store for daemons
	// that can't read it at once. Daemons that start later ignore it.
	announcementTTL = 30 * time.Second
)

// Options configure a Board.
type Options struct {
	// Host is the host in whose name the board makes announcements.
	Host  ident.Host
	Store external.Store
	// Heard is called with each new announcement. Its durations count from the
	// call.
	Heard func(away []backlog.Away)
	Log   *slog.Logger
}

// Board makes announcements, and receives those of all hosts as a mirror.Listener.
type Board struct {
	opts Options

	mu sync.Mutex
	// versions holds the last known version of each announcement in the store.
	// loaded is set once the store was read whole.
	versions map[external.Key]external.Version
	loaded   bool
}

var _ mirror.Listener = (*Board)(nil)

// New returns a board without announcements.
func New(opts Options) *Board {
	return &Board{opts: opts, versions: make(map[external.Key]external.Version)}
}

// Follows reports whether a key holds an announcement.
func (b *Board) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(KeyPrefix))
}

// Outage does nothing, since each announcement has a limited duration.
func (b *Board) Outage(_, _ time.Time) {}

// Apply passes on new announcements. Those found when the store is first read may
// be old and are ignored, as are those that are read again.
func (b *Board) Apply(entries []external.Entry, whole bool, _ time.Time) {
	for _, entry := range b.recordVersions(entries, whole) {
		b.deliver(&entry)
	}
}

// recordVersions records the versions of announcements. It returns the ones that
// are new, once the store was read whole.
func (b *Board) recordVersions(entries []external.Entry, whole bool) []external.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.versions
	if whole {
		b.versions = make(map[external.Key]external.Version, len(entries))
	}
	var changed []external.Entry
	for i := range entries {
		entry := &entries[i]
		if entry.Deleted {
			delete(b.versions, entry.Key)
			continue
		}
		if b.loaded && entry.Version > previous[entry.Key] {
			changed = append(changed, *entry)
		}
		b.versions[entry.Key] = entry.Version
	}
	b.loaded = b.loaded || whole
	return changed
}

// deliver decodes an announcement and passes it to Heard.
func (b *Board) deliver(entry *external.Entry) {
	var away []backlog.Away
	if err := json.Unmarshal(entry.Value, &away); err != nil {
		b.opts.Log.Error("announcement of unavailable targets unreadable", "key", entry.Key, "version", entry.Version, "error", err)
		return
	}
	b.opts.Log.Info("engines away", "engines", len(away), "key", entry.Key, "version", entry.Version)
	b.opts.Heard(away)
}

// Announce replaces the host's announcement. It returns the error of the store if
// the write was not confirmed.
func (b *Board) Announce(ctx context.Context, away []backlog.Away) error {
	value, err := json.Marshal(away)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := b.opts.Store.Grant(ctx, announcementTTL)
	if err != nil {
		return err
	}
	key := KeyPrefix + external.Key(b.opts.Host)
	swap := external.Swap{Key: key, Value: value, Lease: lease, Base: b.knownVersion(key)}
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

// knownVersion returns the last known version of an announcement.
func (b *Board) knownVersion(key external.Key) external.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[key]
}
