package usage

import (
	"context"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// janitorEvery is the time between two rounds of the janitor.
	janitorEvery = time.Minute
	// defaultAbandonAfter is how long a checkpoint may stay the same before it
	// is sealed without a tail. Daemons with nothing to bill write it too.
	defaultAbandonAfter = 15 * time.Minute
	// sealedFor is how long a sealed checkpoint's sequence is kept, for a
	// process that wakes after a long pause.
	sealedFor = 24 * time.Hour
	// keepFrozen is how many reported windows of a shard are kept.
	keepFrozen = 64
	// frozenBatch bounds the windows that one round deletes.
	frozenBatch = 64
)

// janitor removes what is no longer needed: the holder of each shard the
// shard's old windows, and the holder of the first also the checkpoints.
type janitor struct {
	reporter *Reporter
	last     time.Time
	// unchanged is since when each checkpoint stands at its version.
	unchanged map[external.Key]standing
}

// standing is a version with the time since which it is seen.
type standing struct {
	version external.Version
	since   time.Time
}

// newJanitor returns a janitor of a reporter's shard.
func newJanitor(reporter *Reporter) *janitor {
	return &janitor{reporter: reporter, unchanged: make(map[external.Key]standing)}
}

// step makes a round where one is due. What fails is tried in the next.
func (j *janitor) step(ctx context.Context, authority lease.Authority) {
	if time.Since(j.last) < janitorEvery {
		return
	}
	j.last = time.Now()
	if err := j.sweepFrozen(ctx, authority); err != nil {
		j.reporter.Log.Debug("old usage windows were not removed", "error", err)
	}
	if j.reporter.Shard != 0 {
		return
	}
	if err := j.sweepOpen(ctx, authority); err != nil {
		j.reporter.Log.Debug("old usage checkpoints were not removed", "error", err)
	}
}

// sweepFrozen deletes the shard's windows that were reported long ago.
func (j *janitor) sweepFrozen(ctx context.Context, authority lease.Authority) error {
	head, _, err := j.reporter.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Reported <= keepFrozen {
		return nil
	}
	last := head.Reported - keepFrozen
	for sequence := last; sequence > 0 && last-sequence < frozenBatch; sequence-- {
		entry, err := j.reporter.Store.Get(ctx, frozenKey(j.reporter.Shard, sequence))
		if err != nil {
			return ignoreNotFound(err)
		}
		if err := authority.Check(); err != nil {
			return err
		}
		if err := j.reporter.Store.Delete(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	return nil
}

// sweepOpen seals abandoned checkpoints, empties sealed ones that every shard
// has reported, and deletes them after a day.
func (j *janitor) sweepOpen(ctx context.Context, authority lease.Authority) error {
	heads, err := readHeads(ctx, j.reporter.Store)
	if err != nil {
		return err
	}
	entries, err := j.reporter.Store.List(ctx, OpenPrefix)
	if err != nil {
		return err
	}
	for i := range entries {
		checkpoint, err := decodeCheckpoint(entries[i].Value)
		if err != nil {
			return err
		}
		if err := j.sweepOne(ctx, authority, &entries[i], &checkpoint, heads); err != nil {
			return err
		}
	}
	return nil
}

// sweepOne does what is due for one checkpoint.
func (j *janitor) sweepOne(ctx context.Context, authority lease.Authority, entry *external.Entry, checkpoint *Checkpoint, heads []Head) error {
	now := time.Now()
	if err := authority.Check(); err != nil {
		return err
	}
	switch action := due(checkpoint, j.standingFor(entry, now) >= j.reporter.abandonAfter(), heads, stampOf(now)); action {
	case sweepSeal:
		return sealKey(ctx, j.reporter.Store, checkpoint.Source, j.reporter.Host, nil)
	case sweepEmpty:
		checkpoint.Batches = nil
		value, err := encodeCheckpoint(checkpoint)
		if err != nil {
			return err
		}
		_, err = j.reporter.Store.CompareAndSwap(ctx, external.Swap{Key: entry.Key, Base: entry.Version, Value: value})
		return err
	case sweepDelete:
		delete(j.unchanged, entry.Key)
		return j.reporter.Store.Delete(ctx, entry.Key, entry.Version)
	default:
		return nil
	}
}

// standingFor returns how long the janitor has seen a checkpoint unchanged.
func (j *janitor) standingFor(entry *external.Entry, now time.Time) time.Duration {
	seen, ok := j.unchanged[entry.Key]
	if !ok || seen.version != entry.Version {
		j.unchanged[entry.Key] = standing{version: entry.Version, since: now}
		return 0
	}
	return now.Sub(seen.since)
}

// sweep says what is due for a checkpoint.
type sweep int

// The sweeps.
const (
	sweepNothing sweep = iota
	sweepSeal
	sweepEmpty
	sweepDelete
)

// due returns what is due for a checkpoint.
func due(checkpoint *Checkpoint, abandoned bool, heads []Head, now Stamp) sweep {
	switch {
	case !checkpoint.Sealed && abandoned:
		return sweepSeal
	case !checkpoint.Sealed:
		return sweepNothing
	case len(checkpoint.Batches) > 0 && reportedBy(heads, checkpoint.Source) >= lastNumber(checkpoint.Batches):
		return sweepEmpty
	case len(checkpoint.Batches) == 0 && now > checkpoint.SealedAt.add(sealedFor):
		return sweepDelete
	default:
		return sweepNothing
	}
}

// ignoreNotFound returns nil for a key that is gone.
func ignoreNotFound(err error) error {
	if err == nil || isNotFound(err) {
		return nil
	}
	return err
}
