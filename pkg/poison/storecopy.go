package poison

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// KeyPrefix is the key prefix of the evidence for daemons without a link. Each host
	// has its own key.
	KeyPrefix external.Key = "crashes/"
	// writeInterval is the least time between two writes, and callTimeout bounds one.
	writeInterval = 250 * time.Millisecond
	callTimeout   = 900 * time.Millisecond
	// copyTTL is how long evidence stays in the store.
	copyTTL = 30 * time.Second
	// maxCopied bounds the crashes, and the answers, in a host's key, and copiedFor
	// their age before the newest of them.
	maxCopied = 32
	copiedFor = 10 * time.Second
)

// StoreCopy writes evidence that some daemon could not be sent over a link to the
// store, and receives that of other hosts as a mirror.Listener.
type StoreCopy struct {
	host    ident.Host
	store   external.Store
	receive func(e *Evidence) Evidence
	log     *slog.Logger

	mu      sync.Mutex
	latest  Evidence
	changed bool
	version external.Version
}

var _ mirror.Listener = (*StoreCopy)(nil)

// NewStoreCopy returns a copy that is empty. receive adds received evidence.
func NewStoreCopy(host ident.Host, store external.Store, receive func(e *Evidence) Evidence, log *slog.Logger) *StoreCopy {
	return &StoreCopy{host: host, store: store, receive: receive, log: log}
}

// Add has evidence written soon, beside the newest that was written before.
func (s *StoreCopy) Add(e *Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest.Crashes = newest(append(s.latest.Crashes, e.Crashes...), func(c Crash) int64 { return c.At })
	s.latest.Answers = newest(append(s.latest.Answers, e.Answers...), func(a Answer) int64 { return a.At })
	s.changed = true
}

// newest returns the newest items, up to maxCopied, that are at most copiedFor older
// than the newest.
func newest[T any](items []T, at func(T) int64) []T {
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(at(a), at(b)) })
	items = slices.Clone(items[max(0, len(items)-maxCopied):])
	return slices.DeleteFunc(items, func(item T) bool {
		return at(items[len(items)-1])-at(item) > copiedFor.Milliseconds()
	})
}

// Run writes until ctx ends. What could not be written is tried again.
func (s *StoreCopy) Run(ctx context.Context) error {
	return clock.Every(ctx, writeInterval, func() error {
		s.mu.Lock()
		changed, value, base := s.changed, s.latest, s.version
		s.changed = false
		s.mu.Unlock()
		if !changed {
			return nil
		}
		if err := s.write(ctx, &value, base); err != nil {
			s.log.Info("crash evidence not written to the store, retrying", "error", err)
			s.mu.Lock()
			s.changed = true
			s.mu.Unlock()
		}
		return nil
	})
}

// write replaces the host's key.
func (s *StoreCopy) write(ctx context.Context, e *Evidence, base external.Version) error {
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := s.store.Grant(ctx, copyTTL)
	if err != nil {
		return err
	}
	swap := external.Swap{Key: s.key(), Value: value, Lease: lease, Base: base}
	version, err := s.store.CompareAndSwap(ctx, swap)
	if errors.Is(err, external.ErrVersionConflict) {
		var entry external.Entry
		if entry, err = s.store.Get(ctx, swap.Key); err != nil && !errors.Is(err, external.ErrKeyNotFound) {
			return err
		}
		swap.Base = entry.Version
		version, err = s.store.CompareAndSwap(ctx, swap)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	return nil
}

// key returns the host's key.
func (s *StoreCopy) key() external.Key { return KeyPrefix + external.Key(s.host) }

// Follows reports whether a key holds evidence.
func (s *StoreCopy) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(KeyPrefix))
}

// Outage does nothing, since evidence bears its time.
func (s *StoreCopy) Outage(_, _ time.Time) {}

// Apply receives the evidence in the store, that of this host's earlier incarnation
// too.
func (s *StoreCopy) Apply(entries []external.Entry, _ bool, _ time.Time) {
	for i := range entries {
		if entries[i].Deleted {
			continue
		}
		var e Evidence
		if err := json.Unmarshal(entries[i].Value, &e); err != nil {
			s.log.Error("crash evidence unreadable", "key", entries[i].Key, "version", entries[i].Version, "error", err)
			continue
		}
		s.receive(&e)
	}
}
