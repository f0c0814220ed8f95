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
	// Knobs returns the knobs in force.
	Knobs func() config.UsageKnobs
	Log   *slog.Logger
	// Every is the time between looks for ended windows.
	Every time.Duration
	// AbandonAfter is how long a checkpoint may stay the same before it is
	// sealed without a tail; zero takes the default.
	AbandonAfter time.Duration
}

// abandonAfter returns the time after which a checkpoint is abandoned.
func (r *Reporter) abandonAfter() time.Duration {
	if r.AbandonAfter == 0 {
		return defaultAbandonAfter
	}
	return r.AbandonAfter
}

// Work reports windows while the duty is held. It is a lease.Work.
func (r *Reporter) Work(ctx context.Context, authority lease.Authority) error {
	janitor := newJanitor(r)
	ticker := time.NewTicker(r.Every)
	defer ticker.Stop()
	for {
		if err := r.Step(ctx, authority); err != nil {
			r.Log.Debug("usage windows were not reported", "shard", r.Shard, "error", err)
		} else {
			janitor.step(ctx, authority)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step reports every window that is due. It first sends again what was frozen
// before and is not known to be reported, and freezes a window only after the
// one before was reported.
func (r *Reporter) Step(ctx context.Context, authority lease.Authority) error {
	head, version, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		frozen, err := r.frozen(ctx, authority, head.Reported+1)
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

// frozen returns the window of the given sequence, which it freezes where it is
// due, or nil where it is not.
func (r *Reporter) frozen(ctx context.Context, authority lease.Authority, sequence uint64) (*Frozen, error) {
	found, err := r.readFrozen(ctx, sequence)
	if err != nil || found != nil {
		return found, err
	}
	var previous *Frozen
	if sequence > 1 {
		if previous, err = r.readFrozen(ctx, sequence-1); err != nil {
			return nil, err
		}
		if previous == nil {
			return nil, errors.Wrap(errMalformed, "the window before is missing")
		}
	}
	knobs := r.Knobs()
	start, end, due := NextWindow(previous, stampOf(time.Now()), knobs.Window.D(), knobs.Grace.D())
	if !due {
		return nil, nil
	}
	checkpoints, err := r.checkpoints(ctx)
	if err != nil {
		return nil, err
	}
	next := Freeze(previous, checkpoints, r.Shard, start, end)
	return r.freeze(ctx, authority, &next)
}

// freeze writes a window for good. Where another holder was first, or the
// answer is lost, what stands in the store counts.
func (r *Reporter) freeze(ctx context.Context, authority lease.Authority, next *Frozen) (*Frozen, error) {
	value, err := encodeFrozen(next)
	if err != nil {
		return nil, err
	}
	if err := authority.Check(); err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = r.Store.CompareAndSwap(call, external.Swap{Key: frozenKey(r.Shard, next.Sequence), Base: external.NoVersion, Value: value})
	if err == nil {
		return next, nil
	}
	standing, readErr := r.readFrozen(ctx, next.Sequence)
	if readErr != nil {
		return nil, readErr
	}
	if standing == nil {
		return nil, err
	}
	return standing, nil
}

// report hands a frozen window in under the duty's fencing number.
func (r *Reporter) report(ctx context.Context, authority lease.Authority, frozen *Frozen) error {
	if err := authority.Check(); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.Sink.Report(call, frozen.Report(authority.Fencing())); err != nil {
		return err
	}
	r.Log.Info("usage window reported", "shard", r.Shard, "sequence", frozen.Sequence, "window", frozen.Start.Time(), "lines", len(frozen.Lines))
	return nil
}
