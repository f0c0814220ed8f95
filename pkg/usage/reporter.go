package usage

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// Reporter closes and reports the windows of one shard while it holds the
// shard's duty.
type Reporter struct {
	Host  ident.Host
	Shard int
	Store external.Store
	Sink  external.UsageSink
	// Knobs returns the current knobs of usage reporting. Knobs are values that the
	// dynamic configuration sets; these are the same for the whole fleet.
	Knobs func() config.UsageKnobs
	Log   *slog.Logger
	// CheckInterval is the interval between checks for windows that are due.
	CheckInterval time.Duration
	// AbandonAfter is how long a checkpoint may stay unchanged before it is
	// sealed without a tail; zero means the default.
	AbandonAfter time.Duration
}

// abandonAfter returns AbandonAfter or its default.
func (r *Reporter) abandonAfter() time.Duration {
	if r.AbandonAfter == 0 {
		return defaultAbandonAfter
	}
	return r.AbandonAfter
}

// Work reports windows until ctx is done, which happens when the duty ends. It is
// a lease.Work.
func (r *Reporter) Work(ctx context.Context, authority lease.Authority) error {
	collector := newGarbageCollector(r)
	ticker := time.NewTicker(r.CheckInterval)
	defer ticker.Stop()
	for {
		if err := r.ReportDue(ctx, authority); err != nil {
			r.Log.Debug("failed to report usage windows", "shard", r.Shard, "error", err)
		} else {
			collector.runIfDue(ctx, authority)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ReportDue reports every window that is due. It first resends a frozen window
// that is not known to be reported, and freezes a window only after the previous
// one was reported.
func (r *Reporter) ReportDue(ctx context.Context, authority lease.Authority) error {
	head, version, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		frozen, err := r.readOrFreeze(ctx, authority, head.Reported+1)
		if err != nil || frozen == nil {
			return err
		}
		if err := r.report(ctx, authority, frozen); err != nil {
			return err
		}
		head = Head{Shard: r.Shard, Reported: frozen.Sequence, End: frozen.End, Watermarks: frozen.Watermarks}
		if version, err = r.writeHead(ctx, authority, &head, version); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readOrFreeze returns the window of the given sequence. It freezes the window
// if it is due and not yet frozen, and returns nil if it is not due.
func (r *Reporter) readOrFreeze(ctx context.Context, authority lease.Authority, sequence uint64) (*FrozenWindow, error) {
	found, err := r.readFrozen(ctx, sequence)
	if err != nil || found != nil {
		return found, err
	}
	var previous *FrozenWindow
	if sequence > 1 {
		if previous, err = r.readFrozen(ctx, sequence-1); err != nil {
			return nil, err
		}
		if previous == nil {
			return nil, errors.Wrapf(errMalformed, "frozen window %s is missing", frozenKey(r.Shard, sequence-1))
		}
	}
	knobs := r.Knobs()
	start, end, due := NextWindow(previous, timestampOf(time.Now()), knobs.Window.D(), knobs.Grace.D())
	if !due {
		return nil, nil
	}
	checkpoints, err := r.checkpoints(ctx)
	if err != nil {
		return nil, err
	}
	next := FreezeWindow(previous, checkpoints, r.Shard, start, end)
	return r.freeze(ctx, authority, &next)
}

// freeze writes a window to the store and returns the stored window. If the
// write fails, because another holder was first or the response was lost, it
// returns the window that the store holds.
func (r *Reporter) freeze(ctx context.Context, authority lease.Authority, next *FrozenWindow) (*FrozenWindow, error) {
	value, err := encodeFrozen(next)
	if err != nil {
		return nil, err
	}
	if err := authority.Check(); err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = r.Store.CompareAndSwap(callCtx, external.Swap{Key: frozenKey(r.Shard, next.Sequence), Base: external.NoVersion, Value: value})
	if err == nil {
		return next, nil
	}
	stored, readErr := r.readFrozen(ctx, next.Sequence)
	if readErr != nil {
		return nil, readErr
	}
	if stored == nil {
		return nil, err
	}
	return stored, nil
}

// report sends a frozen window to the platform with the duty's fencing token.
func (r *Reporter) report(ctx context.Context, authority lease.Authority, frozen *FrozenWindow) error {
	if err := authority.Check(); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.Sink.Report(callCtx, frozen.Report(authority.Fencing())); err != nil {
		return err
	}
	r.Log.Info("usage window reported", "shard", r.Shard, "sequence", frozen.Sequence, "window", frozen.Start.Time(), "lines", len(frozen.Lines))
	return nil
}
