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
	// reportEvery is the time between looks for a window that has ended.
	reportEvery = 500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 1500 * time.Millisecond
	// closeAfter is how long after its end a window that every daemon has
	// counted is closed.
	closeAfter = 1200 * time.Millisecond
	// reserve is what is left of the time to report in when an incomplete
	// window is closed.
	reserve = 2 * time.Second
)

// windowKey holds the newest window that was closed.
const windowKey external.Key = "tally/window"

// Closed is a window whose counts are fixed.
type Closed struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Reported says that the platform took the counts.
	Reported bool `json:"reported"`
}

// Sink takes the reports. A window that is sent again bears the same counts.
type Sink interface {
	// Report hands in one window. It fails with kind Fenced where a higher
	// fencing number was seen.
	Report(ctx context.Context, window Window, counts Counts, fencing ident.Fencing) error
}

// Reporter closes and reports the windows while it holds the duty.
type Reporter struct {
	Store external.Store
	Sink  Sink
	Time  *TrueTime
	// Window is the length of a window, Due the time after its end within which
	// it must be reported.
	Window time.Duration
	Due    time.Duration
	// Ended reports whether a life of a daemon is known to be over, so that
	// nothing more of it is waited for.
	Ended func(host ident.Host, life ident.Incarnation) bool
	Log   *slog.Logger
}

// Work reports windows while the duty is held. It is a lease.Work.
func (r *Reporter) Work(ctx context.Context, authority lease.Authority) error {
	return clock.Every(ctx, reportEvery, func() error {
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

// step closes the next window where it is due, and reports it.
func (r *Reporter) step(ctx context.Context, authority lease.Authority) error {
	for ctx.Err() == nil {
		closed, version, err := r.read(ctx)
		if err != nil {
			return err
		}
		if version == external.NoVersion {
			// What is reported begins with the present window.
			if version, err = r.write(ctx, authority, &closed, version); err != nil {
				return err
			}
		}
		if closed.Reported {
			next, err := r.next(ctx, closed.Window+1)
			if err != nil || next == nil {
				return err
			}
			if version, err = r.write(ctx, authority, next, version); err != nil {
				return err
			}
			closed = *next
		}
		if err := r.report(ctx, authority, &closed); err != nil {
			return err
		}
		closed.Reported = true
		if _, err := r.write(ctx, authority, &closed, version); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// read returns the newest closed window. Before the first it is the one before
// the present, as reported.
func (r *Reporter) read(ctx context.Context) (Closed, external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := r.Store.Get(ctx, windowKey)
	if errors.Is(err, external.ErrKeyNotFound) {
		return Closed{Window: windowOf(r.Time.Now(), r.Window) - 1, Reported: true}, external.NoVersion, nil
	}
	if err != nil {
		return Closed{}, 0, err
	}
	var closed Closed
	err = json.Unmarshal(entry.Value, &closed)
	return closed, entry.Version, err
}

// next returns the counts of a window that is due, or nil where it is not.
func (r *Reporter) next(ctx context.Context, window Window) (*Closed, error) {
	end := window.end(r.Window)
	since := r.Time.Now().Sub(end)
	if since < closeAfter {
		return nil, nil
	}
	checkpoints, err := r.checkpoints(ctx)
	if err != nil {
		return nil, err
	}
	awaited := Awaited(checkpoints, end, r.Time.Now(), r.Ended)
	if len(awaited) > 0 && since < r.Due-reserve {
		return nil, nil
	}
	if len(awaited) > 0 {
		r.Log.Warn("usage window closed without all counts", "window", window, "missing", awaited, "since", since)
	}
	return &Closed{Window: window, Counts: Sum(checkpoints, window)}, nil
}

// checkpoints reads all daemons' checkpoints. One that can't be read is left
// out with a line in the log, since it would hold up every window.
func (r *Reporter) checkpoints(ctx context.Context) ([]Checkpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := r.Store.List(ctx, OpenPrefix)
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
		r.remove(ctx, &entries[i], &checkpoint)
	}
	return checkpoints, nil
}

// removeAfter is how long a checkpoint that is not written any more is kept.
const removeAfter = 3 * time.Minute

// remove removes the checkpoint of a life that has ended long ago.
func (r *Reporter) remove(ctx context.Context, entry *external.Entry, checkpoint *Checkpoint) {
	if r.Time.Now().Sub(checkpoint.Through) < removeAfter {
		return
	}
	if err := r.Store.Delete(ctx, entry.Key, entry.Version); err != nil {
		r.Log.Info("old usage checkpoint not removed", "key", entry.Key, "error", err)
	}
}

// write puts the window's state into the store.
func (r *Reporter) write(ctx context.Context, authority lease.Authority, closed *Closed, base external.Version) (external.Version, error) {
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

// report hands a closed window in.
func (r *Reporter) report(ctx context.Context, authority lease.Authority, closed *Closed) error {
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
