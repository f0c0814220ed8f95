package tally

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
	"amaranthplank.example/amaranthplank/pkg/transfer"
)

const (
	// reportInterval is the time between checks for a window that has ended.
	reportInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the store or the sink. Reading the checkpoints may
	// take until readTimeout while bytes arrive, since their size grows with the fleet.
	callTimeout = 1500 * time.Millisecond
	readTimeout = 6 * time.Second
	// closeAfter is how long after its end a window is closed at the earliest,
	// even if the counts of every daemon are complete.
	closeAfter = 1200 * time.Millisecond
	// reportReserve is how long before its reporting deadline a window is closed
	// without all counts.
	reportReserve = 2 * time.Second
)

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
	// Windows remembers the closed windows over the store's eras.
	Windows *WindowMemory
	// Share sends a closed window to other daemons before it is reported, so that they
	// remember it if the store and this daemon lose it. It may be nil.
	Share func(closed ClosedWindow)
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
		stored, version, err := r.Windows.read(ctx)
		if err != nil || r.Windows.restoring() {
			return err
		}
		closed, version, err := r.establish(ctx, authority, stored, version)
		if err != nil {
			return err
		}
		if closed.Reported {
			next, err := r.countWindow(ctx, closed.Window+1)
			if err != nil || next == nil {
				return err
			}
			next.FixedIn, next.Era = closed.Era, closed.Era
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

// establish returns the newest closed window of the store's present era, given the
// stored one or nil. It writes the one that is remembered if the store has lost it. If
// there is none yet it writes the window before the current one, marked as reported, so
// that reporting starts with the current one.
func (r *Reporter) establish(ctx context.Context, authority lease.Authority, stored *ClosedWindow, version external.Version) (ClosedWindow, external.Version, error) {
	closed, reliable := r.Windows.newest(stored)
	if !reliable {
		r.skipUnknown(&closed, windowOf(r.Windows.unknownBefore(), r.Window)-1)
	}
	if stored != nil && closed.equal(stored) {
		return closed, version, nil
	}
	version, err := r.writeClosed(ctx, authority, &closed, version)
	return closed, version, err
}

// skipUnknown advances the newest closed window to the last one that may have been
// reported before the store came back from an older copy. It is used if no daemon
// remembers what was: a missing report is a lesser fault than one with other counts.
func (r *Reporter) skipUnknown(closed *ClosedWindow, last Window) {
	if closed.Window >= last {
		return
	}
	if closed.Window > 0 {
		r.Log.Warn("usage windows skipped, they may have been reported", "after", closed.Window, "through", last)
	}
	closed.Window, closed.Counts, closed.Reported = last, nil, true
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
	ctx, _, cancel := transfer.Start(ctx, transfer.Limits{Silence: callTimeout, Total: readTimeout})
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
	version, err := r.Store.CompareAndSwap(ctx, external.Swap{Key: windowKey, Base: base, Value: value})
	if err == nil {
		r.Windows.Remember(*closed)
	}
	return version, err
}

// report submits a closed window to the sink.
func (r *Reporter) report(ctx context.Context, authority lease.Authority, closed *ClosedWindow) error {
	if err := authority.Check(); err != nil {
		return err
	}
	if r.Share != nil {
		r.Share(*closed)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := authority.Call(call, func(ctx context.Context) error {
		return r.Sink.Report(ctx, closed.Window, closed.Counts, authority.Fencing())
	})
	if err != nil {
		return err
	}
	r.Log.Info("usage window reported", "window", closed.Window, "workspaces", len(closed.Counts), "fencing", authority.Fencing())
	return nil
}
