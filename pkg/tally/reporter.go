package tally

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

const (
	// reportInterval is the time between checks for a window that has ended.
	reportInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the store or the sink.
	callTimeout = 1500 * time.Millisecond
	// closeAfter is how long after its end a window is closed at the earliest,
	// even if the counts of every daemon are complete.
	closeAfter = 1200 * time.Millisecond
	// reportReserve is how long before its reporting deadline a window is closed
	// without all counts.
	reportReserve = 2 * time.Second
)

// windowKey is the store key of the newest closed window.
const windowKey external.Key = "tally/window"

// ClosedWindow is a window whose counts are fixed.
type ClosedWindow struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Reported is set once the platform has accepted the counts.
	Reported bool `json:"reported"`
}

// Sink receives the reports. A window may be reported more than once, always with
// the same counts.
type Sink interface {
	// Report submits the counts of a window. It fails with kind Fenced if the sink
	// has seen a higher fencing token.
	Report(ctx context.Context, window Window, counts Counts, fencing ident.FencingToken) error
}

// Reporter closes and reports the windows while it holds the duty.
type Reporter struct {
	Store external.Store
	Sink  Sink
	Time  *SteadyWallClock
	// Window is the length of a window. ReportDeadline is the time after its end by
	// which it must be reported.
	Window         time.Duration
	ReportDeadline time.Duration
	// Ended reports whether an incarnation of a daemon is known to have ended, so
	// that its counts are not waited for.
	Ended func(host ident.Host, incarnation ident.Incarnation) bool
	Log   *slog.Logger
}

// Work reports windows while the authority holds. It is a lease.Work.
func (r *Reporter) Work(ctx context.Context, authority lease.Authority) error {
	return clock.Every(ctx, reportInterval, func() error {
		err := r.step(ctx, authority)
		if fault.KindOf(err) == fault.Fenced {
			return err
		}
		if err != nil {
			r.Log.Info("usage window not reported", "error", err)
		}
		return nil
	})
}

// step closes and reports every window that is due.
func (r *Reporter) step(ctx context.Context, authority lease.Authority) error {
	for ctx.Err() == nil {
		closed, version, err := r.readClosed(ctx)
		if err != nil {
			return err
		}
		if version == external.NoVersion {
			// On the first run, reporting starts with the current window.
			if version, err = r.writeClosed(ctx, authority, &closed, version); err != nil {
				return err
			}
		}
		if closed.Reported {
			next, err := r.countWindow(ctx, closed.Window+1)
			if err != nil || next == nil {
				return err
			}
			if version, err = r.writeClosed(ctx, authority, next, version); err != nil {
				return err
			}
			closed = *next
		}
		if err := r.report(ctx, authority, &closed); err != nil {
			return err
		}
		closed.Reported = true
		if _, err := r.writeClosed(ctx, authority, &closed, version); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readClosed returns the newest closed window. If there is none yet it returns the
// window before the current one, marked as reported.
func (r *Reporter) readClosed(ctx context.Context) (ClosedWindow, external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, windowKey)
	if errors.Is(err, external.ErrKeyNotFound) {
		return ClosedWindow{Window: windowOf(r.Time.Now(), r.Window) - 1, Reported: true}, external.NoVersion, nil
	}
	if err != nil {
		return ClosedWindow{}, 0, err
	}
	var closed ClosedWindow
	err = json.Unmarshal(entry.Value, &closed)
	return closed, entry.Version, err
}

// countWindow returns a window with its counts if it is due to be closed, else nil.
func (r *Reporter) countWindow(ctx context.Context, window Window) (*ClosedWindow, error) {
	end := window.end(r.Window)
	since := r.Time.Now().Sub(end)
	if since < closeAfter {
		return nil, nil
	}
	checkpoints, err := r.checkpoints(ctx)
	if err != nil {
		return nil, err
	}
	awaited := AwaitedHosts(checkpoints, end, r.Time.Now(), r.Ended)
	if len(awaited) > 0 && since < r.ReportDeadline-reportReserve {
		return nil, nil
	}
	if len(awaited) > 0 {
		r.Log.Warn("usage window closed without all counts", "window", window, "missing", awaited, "since", since)
	}
	return &ClosedWindow{Window: window, Counts: Sum(checkpoints, window)}, nil
}

// checkpoints reads the checkpoints of all daemons and removes stale ones. One
// that can't be decoded is logged and left out, since it would block every window.
func (r *Reporter) checkpoints(ctx context.Context) ([]Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := r.Store.List(ctx, CheckpointPrefix)
	if err != nil {
		return nil, err
	}
	checkpoints := make([]Checkpoint, 0, len(entries))
	for i := range entries {
		checkpoint, err := DecodeCheckpoint(entries[i].Value)
		if err != nil {
			r.Log.Error("usage checkpoint unreadable", "key", entries[i].Key, "error", err)
			continue
		}
		checkpoints = append(checkpoints, checkpoint)
		r.removeStale(ctx, &entries[i], &checkpoint)
	}
	return checkpoints, nil
}

// removeAfter is how long a checkpoint that is no longer updated is kept.
const removeAfter = 3 * time.Minute

// removeStale deletes a checkpoint that has not been updated for removeAfter.
func (r *Reporter) removeStale(ctx context.Context, entry *external.Entry, checkpoint *Checkpoint) {
	if r.Time.Now().Sub(checkpoint.Through) < removeAfter {
		return
	}
	if err := r.Store.Delete(ctx, entry.Key, entry.Version); err != nil {
		r.Log.Info("old usage checkpoint not removed", "key", entry.Key, "error", err)
	}
}

// writeClosed stores the state of a closed window.
func (r *Reporter) writeClosed(ctx context.Context, authority lease.Authority, closed *ClosedWindow, base external.Version) (external.Version, error) {
	value, err := json.Marshal(closed)
	if err != nil {
		return 0, err
	}
	if err := authority.Check(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.CompareAndSwap(ctx, external.Swap{Key: windowKey, Base: base, Value: value})
}

// report submits a closed window to the sink.
func (r *Reporter) report(ctx context.Context, authority lease.Authority, closed *ClosedWindow) error {
	if err := authority.Check(); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.Sink.Report(call, closed.Window, closed.Counts, authority.Fencing()); err != nil {
		return err
	}
	r.Log.Info("usage window reported", "window", closed.Window, "workspaces", len(closed.Counts), "fencing", authority.Fencing())
	return nil
}
