package poison

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// RecordPrefix is the key prefix of the requests that are refused, so that they
	// outlast the processes that know them. Each has its own key without a lease.
	RecordPrefix external.Key = "crashing-requests/"
	// maxWrites bounds the records that are written in one writeInterval.
	maxWrites = 16
)

// Records keeps the requests that a detector refuses in the store, and receives those of
// other daemons as a mirror.Listener.
type Records struct {
	detector *Detector
	store    external.Store
}

var _ mirror.Listener = (*Records)(nil)

// NewRecords returns the records of a detector, which claims probes by them.
func NewRecords(detector *Detector, store external.Store) *Records {
	r := &Records{detector: detector, store: store}
	detector.records = r
	return r
}

// recordKey returns the key of a request's record.
func recordKey(hash uint64) external.Key {
	return RecordPrefix + external.Key(request.Fingerprint(hash).String())
}

// Follows reports whether a key holds a record.
func (r *Records) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(RecordPrefix))
}

// Outage keeps the records from being written while the store is away.
func (r *Records) Outage(_, ended time.Time) {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	r.detector.suspicions.storeAway = ended.IsZero()
}

// Apply takes over the records in the store.
func (r *Records) Apply(entries []external.Entry, whole bool, _ time.Time) {
	d := r.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.noteRequests()
	now := d.opts.Now()
	d.suspicions.storeAway = false
	listed := make(map[uint64]bool)
	for i := range entries {
		hash, err := strconv.ParseUint(strings.TrimPrefix(string(entries[i].Key), string(RecordPrefix)), 16, 64)
		if err != nil {
			d.opts.Log.Error("crash evidence unreadable", "key", entries[i].Key, "version", entries[i].Version, "error", err)
			continue
		}
		listed[hash] = true
		r.applyEntry(hash, &entries[i], now)
	}
	if whole {
		era, _ := external.EraOf(r.store)
		d.suspicions.listed(listed, era, now)
	}
}

// applyEntry takes over one record or its removal. The detector's mu must be held.
func (r *Records) applyEntry(hash uint64, entry *external.Entry, now time.Time) {
	d := r.detector
	if entry.Deleted {
		d.suspicions.removed(hash, now)
		return
	}
	var kept record
	if err := json.Unmarshal(entry.Value, &kept); err != nil {
		d.opts.Log.Error("crash evidence unreadable", "key", entry.Key, "version", entry.Version, "error", err)
		return
	}
	before := d.suspicions.has(requestKey(hash))
	d.suspicions.seen(hash, kept, entry.Version, d.table.answered[requestKey(hash)], now)
	if !before && d.suspicions.has(requestKey(hash)) {
		d.opts.Log.Warn("request suspected", "fingerprint", requestKey(hash).name(), "from", "store", "at", time.UnixMilli(kept.At))
	}
}

// Run writes and removes records until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	return clock.Every(ctx, writeInterval, func() error {
		d := r.detector
		d.mu.Lock()
		due := d.suspicions.due(d.opts.Now())
		d.mu.Unlock()
		for _, hash := range due {
			r.settle(ctx, hash)
		}
		return nil
	})
}

// settle writes or removes one record.
func (r *Records) settle(ctx context.Context, hash uint64) {
	d := r.detector
	d.mu.Lock()
	found, ok := d.suspicions.held[hash]
	if !ok {
		d.mu.Unlock()
		return
	}
	kept, base, remove := found.record, found.version, found.cleared
	if found.stored && base == external.NoVersion {
		// The version is read from the store first.
		found.due = d.opts.Now().Add(writeRetryInterval).UnixMilli()
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	version, err := r.put(ctx, hash, kept, base, remove)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.suspicions.written(hash, kept, version, d.opts.Now())
		return
	}
	conflict := errors.Is(err, external.ErrVersionConflict)
	d.suspicions.notWritten(hash, conflict && base == external.NoVersion, d.opts.Now())
	if !conflict {
		d.opts.Log.Info("refused request not written to the store, retrying", "fingerprint", requestKey(hash).name(), "error", err)
	}
}

// put writes or removes a record that is at the base version.
func (r *Records) put(ctx context.Context, hash uint64, kept record, base external.Version, remove bool) (external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if remove {
		err := r.store.Delete(ctx, recordKey(hash), base)
		if errors.Is(err, external.ErrKeyNotFound) {
			err = nil
		}
		return external.NoVersion, err
	}
	value, err := json.Marshal(kept)
	if err != nil {
		return external.NoVersion, err
	}
	return r.store.CompareAndSwap(ctx, external.Swap{Key: recordKey(hash), Value: value, Base: base})
}

// claim claims the one probe of a request that is refused, and reports whether it may be
// sent. It is claimed in the store, so that no two daemons send one.
func (r *Records) claim(hash uint64) bool {
	d := r.detector
	d.mu.Lock()
	found := d.suspicions.held[hash]
	if found == nil || found.cleared {
		d.mu.Unlock()
		return false
	}
	kept, base := found.record, found.version
	d.mu.Unlock()
	kept.Prober = d.opts.Process
	version, err := r.put(context.Background(), hash, kept, base, false)
	if err != nil {
		d.opts.Log.Info("probe of a refused request not claimed", "fingerprint", requestKey(hash).name(), "error", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspicions.claimed(hash, kept, version)
}
