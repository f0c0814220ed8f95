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
	// copyTTL is how long evidence stays in the store, and maxKeepTTL the longest time for that
	// on suspect parts, under the host's key and suspectsSuffix.
	copyTTL                     = 30 * time.Second
	maxKeepTTL                  = 10 * time.Minute
	suspectsSuffix external.Key = "/suspects"
	// maxCopied bounds the crashes in a host's key, maxCopiedHashes the hashes of their prompts
	// and requests, maxCopiedAnswers the answers, and copiedFor the age of all before the
	// newest of them. Written, they stay below external.MaxValueBytes.
	maxCopied        = 32
	maxCopiedHashes  = minCrashes * maxCrashHashes
	maxCopiedAnswers = 1024
	copiedFor        = 10 * time.Second
)

// StoreCopy writes evidence that some daemon could not be sent over a link to the
// store, and that on suspect parts for the time after all daemons have ended. It receives
// that of other hosts as a mirror.Listener.
type StoreCopy struct {
	store   external.Store
	receive func(e *Evidence) Evidence
	log     *slog.Logger

	mu                 sync.Mutex
	unlinked, suspects copiedEvidence
}

// copiedEvidence is evidence under one key.
type copiedEvidence struct {
	key     external.Key
	latest  Evidence
	ttl     time.Duration
	changed bool
	version external.Version
}

var _ mirror.Listener = (*StoreCopy)(nil)

// NewStoreCopy returns a copy that is empty. receive adds received evidence.
func NewStoreCopy(host ident.Host, store external.Store, receive func(e *Evidence) Evidence, log *slog.Logger) *StoreCopy {
	key := KeyPrefix + external.Key(host)
	return &StoreCopy{
		store: store, receive: receive, log: log,
		unlinked: copiedEvidence{key: key, ttl: copyTTL}, suspects: copiedEvidence{key: key + suspectsSuffix},
	}
}

// Add has evidence written soon, beside the newest that was written before.
func (s *StoreCopy) Add(e *Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := &s.unlinked.latest
	latest.Crashes = newestCrashes(recent(append(latest.Crashes, e.Crashes...), func(c Crash) int64 { return c.At }), maxCopied, maxCopiedHashes)
	latest.Answers = recent(append(latest.Answers, e.Answers...), func(a Answer) int64 { return a.At })
	latest.Answers = latest.Answers[max(0, len(latest.Answers)-maxCopiedAnswers):]
	s.unlinked.changed = true
}

// Keep has the evidence on suspect parts written soon, for a time, in place of what was written
// before.
func (s *StoreCopy) Keep(e *Evidence, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.latest = Evidence{Crashes: newestCrashes(e.Crashes, maxCopied, maxCopiedHashes)}
	s.suspects.ttl, s.suspects.changed = min(max(d, copyTTL), maxKeepTTL), true
}

// recent returns the items sorted by time, without those that are more than copiedFor older than the
// newest.
func recent[T any](items []T, at func(T) int64) []T {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(at(a), at(b)) })
	return slices.DeleteFunc(items, func(item T) bool {
		return at(items[len(items)-1])-at(item) > copiedFor.Milliseconds()
	})
}

// Run writes until ctx ends. What could not be written is tried again.
func (s *StoreCopy) Run(ctx context.Context) error {
	return clock.Every(ctx, writeInterval, func() error {
		s.writeChanged(ctx, &s.unlinked)
		s.writeChanged(ctx, &s.suspects)
		return nil
	})
}

// writeChanged writes evidence that has changed.
func (s *StoreCopy) writeChanged(ctx context.Context, copied *copiedEvidence) {
	s.mu.Lock()
	changed, value := copied.changed, *copied
	copied.changed = false
	s.mu.Unlock()
	if !changed {
		return
	}
	version, err := s.write(ctx, &value)
	if err != nil {
		s.log.Info("crash evidence not written to the store, retrying", "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		copied.changed = true
		return
	}
	copied.version = version
}

// write replaces a key, and returns its version.
func (s *StoreCopy) write(ctx context.Context, copied *copiedEvidence) (external.Version, error) {
	value, err := json.Marshal(&copied.latest)
	if err != nil {
		return external.NoVersion, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := s.store.Grant(ctx, copied.ttl)
	if err != nil {
		return external.NoVersion, err
	}
	swap := external.Swap{Key: copied.key, Value: value, Lease: lease, Base: copied.version}
	version, err := s.store.CompareAndSwap(ctx, swap)
	if errors.Is(err, external.ErrVersionConflict) {
		var entry external.Entry
		if entry, err = s.store.Get(ctx, swap.Key); err != nil && !errors.Is(err, external.ErrKeyNotFound) {
			return external.NoVersion, err
		}
		swap.Base = entry.Version
		version, err = s.store.CompareAndSwap(ctx, swap)
	}
	return version, err
}

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
