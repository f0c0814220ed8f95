package streamorigin

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

const (
	// StreamsPrefix is the key prefix of the streams that daemons have begun. Each host has
	// its own key.
	StreamsPrefix external.Key = "streams-begun/"
	// checkInterval is the time between two checks for streams to write, and writeInterval
	// the least time between two writes of a host.
	checkInterval = 50 * time.Millisecond
	writeInterval = 100 * time.Millisecond
	// writesPerSecond is how many of these keys all hosts together write in a second.
	writesPerSecond = 100
	// copyTTL is how long a key stays after its host last had a new lease. A lease is used
	// for half of that time.
	copyTTL = 4 * time.Minute
)

// CopyOptions configure a StoreCopy.
type CopyOptions struct {
	Self  ident.Host
	Store external.Store
	// Daemons returns the number of daemons present.
	Daemons func() int
	Log     *slog.Logger
}

// StoreCopy writes the streams that this daemon has begun to the store while their pool's
// targets have several software versions, so that it outlasts all daemons, and reads those of
// all hosts as a mirror.Listener.
type StoreCopy struct {
	opts  CopyOptions
	table *Table

	// The fields below are guarded by the table's mu.

	// base is the version of the host's key, or external.NoVersion.
	base external.Version
	// inherited are the streams of the host's earlier process.
	inherited []Origins
	// lease is the key's lease since leasedAt.
	lease    external.LeaseID
	leasedAt time.Time
	// nextAt is when the key may be written next.
	nextAt time.Time
}

var _ mirror.Listener = (*StoreCopy)(nil)

// storedStreams is the value of a host's key, as CBOR. It is an array of the fields, so that
// fields may only be appended.
type storedStreams struct {
	Streams []Origins
}

// NewStoreCopy returns the copy of a table's streams.
func NewStoreCopy(table *Table, opts CopyOptions) *StoreCopy {
	return &StoreCopy{opts: opts, table: table}
}

// key returns the host's key.
func (s *StoreCopy) key() external.Key { return StreamsPrefix + external.Key(s.opts.Self) }

// Follows reports whether a key holds the streams of a host.
func (s *StoreCopy) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(StreamsPrefix))
}

// Outage does nothing: a stream that was read stays true.
func (s *StoreCopy) Outage(_, _ time.Time) {}

// Apply records the streams of all hosts, and the version of this host's key.
func (s *StoreCopy) Apply(entries []external.Entry, whole bool, _ time.Time) {
	if whole {
		s.setMissing()
	}
	for i := range entries {
		entry := &entries[i]
		if entry.Deleted {
			if entry.Key == s.key() {
				s.setMissing()
			}
			continue
		}
		var stored storedStreams
		if err := peer.Decode(entry.Value, &stored); err != nil {
			s.opts.Log.Error("streams of a host unreadable", "key", entry.Key, "version", entry.Version, "error", err)
			continue
		}
		s.table.learn(stored.Streams, false)
		if entry.Key == s.key() {
			s.readOwn(entry, stored.Streams)
		}
	}
}

// setMissing records that the store lacks the host's key, unless it is read next.
func (s *StoreCopy) setMissing() {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.base = external.NoVersion
	s.table.running.markUnstored()
}

// readOwn takes over the host's key. What an earlier process wrote there is kept.
func (s *StoreCopy) readOwn(entry *external.Entry, streams []Origins) {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s.base = entry.Version
	t.running.markStored(streams)
	if s.lease == external.NoLease {
		s.inherited = streams
	}
}

// Run writes until ctx ends.
func (s *StoreCopy) Run(ctx context.Context) error {
	return clock.Every(ctx, checkInterval, func() error {
		s.step(ctx)
		return nil
	})
}

// step writes or removes the host's key if that is due.
func (s *StoreCopy) step(ctx context.Context) {
	streams, unstored, remove := s.due()
	if !unstored && !remove {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if remove {
		err = s.remove(ctx)
	} else {
		err = s.write(ctx, streams)
	}
	if err != nil {
		s.opts.Log.Info("streams not written to the store, retrying", "error", err)
		s.delay(retryInterval)
		return
	}
	s.delay(max(writeInterval, time.Duration(s.opts.Daemons())*time.Second/writesPerSecond))
}

// delay sets when the key may be written next.
func (s *StoreCopy) delay(d time.Duration) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.nextAt = s.table.opts.Now().Add(d)
}

// due returns the streams for the key and whether it lacks one of them, or that the key is no
// longer needed.
func (s *StoreCopy) due() (streams []Origins, unstored, remove bool) {
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if now.Before(s.nextAt) {
		return nil, false, false
	}
	retention := t.retention()
	t.running.expire(now, retention, maxRunning)
	mixed := func(pool ident.Pool) bool {
		found := t.pools[pool]
		return found != nil && len(found.seenAt) > 1
	}
	streams, unstored = t.running.due(now, mixed)
	if now.Sub(t.startedAt) <= retention {
		return append(streams, s.inherited...), unstored, false
	}
	return streams, unstored, s.base != external.NoVersion && !t.anyMixed()
}

// write replaces the host's key.
func (s *StoreCopy) write(ctx context.Context, streams []Origins) error {
	value, err := peer.EncodeCompact(storedStreams{Streams: streams})
	if err != nil {
		return err
	}
	base, lease, err := s.leased(ctx)
	if err != nil {
		return err
	}
	version, err := s.opts.Store.CompareAndSwap(ctx, external.Swap{Key: s.key(), Value: value, Base: base, Lease: lease})
	t := s.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, external.ErrLeaseNotFound) {
		s.leasedAt = time.Time{}
	}
	if err != nil {
		return err
	}
	s.base = version
	t.running.markStored(streams)
	return nil
}

// leased returns the version of the host's key and a lease for it.
func (s *StoreCopy) leased(ctx context.Context) (external.Version, external.LeaseID, error) {
	t := s.table
	t.mu.Lock()
	base, lease, now := s.base, s.lease, t.opts.Now()
	fresh := !s.leasedAt.IsZero() && now.Sub(s.leasedAt) < copyTTL/2
	t.mu.Unlock()
	if fresh {
		return base, lease, nil
	}
	lease, err := s.opts.Store.Grant(ctx, copyTTL)
	if err != nil {
		return external.NoVersion, external.NoLease, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.lease, s.leasedAt = lease, now
	return s.base, lease, nil
}

// remove removes the host's key.
func (s *StoreCopy) remove(ctx context.Context) error {
	t := s.table
	t.mu.Lock()
	base := s.base
	t.mu.Unlock()
	err := s.opts.Store.Delete(ctx, s.key(), base)
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.base = external.NoVersion
	t.running.markUnstored()
	return nil
}
