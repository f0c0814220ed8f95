package usage

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// gcInterval is the time between two garbage collections.
	gcInterval = time.Minute
	// defaultAbandonAfter is how long a checkpoint may stay unchanged before
	// it is sealed without a tail. Idle daemons keep rewriting theirs.
	defaultAbandonAfter = 15 * time.Minute
	// sealedRetention is how long the sequence of a sealed checkpoint is kept,
	// so that a process that resumes after a long pause still finds it.
	sealedRetention = 24 * time.Hour
	// retainedWindows is the number of reported windows kept for each shard.
	retainedWindows = 64
	// maxWindowDeletes bounds the windows deleted in one collection.
	maxWindowDeletes = 64
)

// garbageCollector deletes a shard's old windows while its reporter holds the
// shard's duty. The one of shard 0 also seals, empties and deletes checkpoints.
type garbageCollector struct {
	reporter *Reporter
	lastRun  time.Time
	// observed holds the last seen version of each checkpoint.
	observed map[external.Key]observedVersion
}

// observedVersion is a version and the time at which it was first seen.
type observedVersion struct {
	version external.Version
	since   time.Time
}

// newGarbageCollector returns a garbage collector for a reporter's shard.
func newGarbageCollector(reporter *Reporter) *garbageCollector {
	return &garbageCollector{reporter: reporter, observed: make(map[external.Key]observedVersion)}
}

// runIfDue collects garbage if gcInterval has passed since the last run. Steps
// that fail are retried in the next run.
func (g *garbageCollector) runIfDue(ctx context.Context, authority lease.Authority) {
	if time.Since(g.lastRun) < gcInterval {
		return
	}
	g.lastRun = time.Now()
	if err := g.sweepWindows(ctx, authority); err != nil {
		g.reporter.Log.Debug("failed to delete old usage windows", "shard", g.reporter.Shard, "error", err)
	}
	if g.reporter.Shard != 0 {
		return
	}
	if err := g.sweepCheckpoints(ctx, authority); err != nil {
		g.reporter.Log.Debug("failed to clean up usage checkpoints", "error", err)
	}
}

// sweepWindows deletes the shard's reported windows beyond the retained ones.
func (g *garbageCollector) sweepWindows(ctx context.Context, authority lease.Authority) error {
	head, _, err := g.reporter.readHead(ctx)
	if err != nil {
		return err
	}
	if head.Reported <= retainedWindows {
		return nil
	}
	last := head.Reported - retainedWindows
	for sequence := last; sequence > 0 && last-sequence < maxWindowDeletes; sequence-- {
		entry, err := g.reporter.Store.Get(ctx, frozenKey(g.reporter.Shard, sequence))
		if err != nil {
			return ignoreNotFound(err)
		}
		if err := authority.Check(); err != nil {
			return err
		}
		if err := g.reporter.Store.Delete(ctx, entry.Key, entry.Version); err != nil {
			return err
		}
	}
	return nil
}

// sweepCheckpoints seals abandoned checkpoints, empties sealed checkpoints that
// every shard has reported, and deletes empty ones after sealedRetention.
func (g *garbageCollector) sweepCheckpoints(ctx context.Context, authority lease.Authority) error {
	heads, err := readHeads(ctx, g.reporter.Store)
	if err != nil {
		return err
	}
	entries, err := g.reporter.Store.List(ctx, CheckpointPrefix)
	if err != nil {
		return err
	}
	for i := range entries {
		checkpoint, err := decodeCheckpoint(entries[i].Value)
		if err != nil {
			return errors.Wrapf(err, "decode %s", entries[i].Key)
		}
		if err := g.sweepCheckpoint(ctx, authority, &entries[i], &checkpoint, heads); err != nil {
			return err
		}
	}
	return nil
}

// sweepCheckpoint seals, empties or deletes one checkpoint if that is due.
func (g *garbageCollector) sweepCheckpoint(ctx context.Context, authority lease.Authority, entry *external.Entry, checkpoint *Checkpoint, heads []Head) error {
	now := time.Now()
	if err := authority.Check(); err != nil {
		return err
	}
	switch action := dueAction(checkpoint, g.unchangedFor(entry, now) >= g.reporter.abandonAfter(), heads, timestampOf(now)); action {
	case sweepSeal:
		return sealCheckpoint(ctx, g.reporter.Store, checkpoint.Source, g.reporter.Host, nil)
	case sweepEmpty:
		checkpoint.Batches = nil
		value, err := encodeCheckpoint(checkpoint)
		if err != nil {
			return err
		}
		_, err = g.reporter.Store.CompareAndSwap(ctx, external.Swap{Key: entry.Key, Base: entry.Version, Value: value})
		return err
	case sweepDelete:
		delete(g.observed, entry.Key)
		return g.reporter.Store.Delete(ctx, entry.Key, entry.Version)
	default:
		return nil
	}
}

// unchangedFor returns how long the collector has seen a checkpoint at its
// present version.
func (g *garbageCollector) unchangedFor(entry *external.Entry, now time.Time) time.Duration {
	seen, ok := g.observed[entry.Key]
	if !ok || seen.version != entry.Version {
		g.observed[entry.Key] = observedVersion{version: entry.Version, since: now}
		return 0
	}
	return now.Sub(seen.since)
}

// sweepAction is the cleanup that a checkpoint needs.
type sweepAction int

// The sweep actions.
const (
	sweepNothing sweepAction = iota
	sweepSeal
	sweepEmpty
	sweepDelete
)

// dueAction returns the cleanup that a checkpoint needs.
func dueAction(checkpoint *Checkpoint, abandoned bool, heads []Head, now Timestamp) sweepAction {
	switch {
	case !checkpoint.Sealed && abandoned:
		return sweepSeal
	case !checkpoint.Sealed:
		return sweepNothing
	case len(checkpoint.Batches) > 0 && reportedByAllShards(heads, checkpoint.Source) >= lastBatchNumber(checkpoint.Batches):
		return sweepEmpty
	case len(checkpoint.Batches) == 0 && now > checkpoint.SealedAt.add(sealedRetention):
		return sweepDelete
	default:
		return sweepNothing
	}
}

// ignoreNotFound returns nil if err reports that a key does not exist.
func ignoreNotFound(err error) error {
	if err == nil || isNotFound(err) {
		return nil
	}
	return err
}
