package mirror

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/transfer"
)

// Mirror follows the store and passes changes to its listeners.
type Mirror struct {
	opts      Options
	listeners []Listener
	// confirmedAt is when the last successful call was sent, in nanoseconds since
	// start, or zero before the first one.
	confirmedAt atomic.Int64
	start       time.Time

	// The other fields are used only by the goroutine of Run.
	cursor external.Cursor
	// era is the era of the store in the last successful call, if loaded is set.
	era    external.Era
	loaded bool
	// loadSilence is the silence limit of the next read of all keys. It is longer than
	// Options.CallTimeout only after an attempt whose answer did not begin.
	loadSilence time.Duration
	// loadBytes is what the last read of all keys moved.
	loadBytes int64
	outage    outage
	retry     *backoff.ExponentialBackOff
}

// New returns a mirror that has not read the store yet.
func New(opts Options, listeners ...Listener) *Mirror {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryPause
	retry.MaxInterval = maxRetryPause
	return &Mirror{opts: opts, listeners: listeners, start: time.Now(), loadSilence: opts.CallTimeout, retry: retry}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.opts.Pause
		sentAt := time.Now()
		if err := m.step(ctx); err != nil {
			pause = m.handleFailure(ctx, err, time.Since(sentAt))
		}
		m.pause(ctx, pause)
	}
	return nil
}

// pause waits before the next call, but not after the store's era has risen.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	era, risen := external.EraOf(m.opts.Store)
	if m.loaded && era != m.cursor.Era() && m.cursor != external.StartCursor {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-risen:
	case <-timer.C:
	}
}

// Age returns an upper bound of the age of the data, or false before the first
// successful call.
func (m *Mirror) Age() (time.Duration, bool) {
	at := m.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(m.start) - time.Duration(at), true
}

// step makes one call and passes its changes to the listeners.
func (m *Mirror) step(ctx context.Context) error {
	call, moved, cancel := transfer.Start(ctx, m.limits())
	defer cancel()
	sentAt := time.Now()
	changes, err := m.opts.Store.Watch(call, m.opts.Prefix, m.cursor)
	if err != nil {
		m.noteFailedLoad(moved)
		return err
	}
	now := time.Now()
	m.endOutage(now)
	m.noteEra(changes.Next.Era(), now)
	m.cursor = changes.Next
	m.loadSilence = m.opts.CallTimeout
	m.retry.Reset()
	if changes.Whole {
		m.loadBytes = moved.Bytes()
	}
	for _, listener := range m.listeners {
		m.notify(listener, changes, now)
	}
	m.confirmedAt.Store(max(1, int64(sentAt.Sub(m.start))))
	return nil
}

// limits returns the limits of the next call. A watch may move as much as all keys did
// when they were last read, since they are the better choice beyond that.
func (m *Mirror) limits() transfer.Limits {
	if m.cursor == external.StartCursor {
		return transfer.Limits{Silence: m.loadSilence, Total: maxTransferTime}
	}
	return transfer.Limits{Silence: m.opts.CallTimeout, Total: maxTransferTime, MaxBytes: max(minHistoryBytes, m.loadBytes)}
}

// noteFailedLoad raises the silence limit after a read of all keys whose answer did not
// begin within it.
func (m *Mirror) noteFailedLoad(moved *transfer.Transfer) {
	if m.cursor == external.StartCursor && moved.Stalled() && !moved.Begun() {
		m.loadSilence = min(maxLoadSilence, loadSilenceGrowth*m.loadSilence)
	}
}

// noteEra reports a rise of the store's era as the end of an outage: writers have to
// write again what the store has lost.
func (m *Mirror) noteEra(era external.Era, now time.Time) {
	if m.loaded && era != m.era {
		for _, listener := range m.listeners {
			listener.Outage(now, now)
		}
	}
	m.era, m.loaded = era, true
}

// notify passes a listener the changes of the keys that it follows. A listener that
// fails on them keeps neither the others nor later changes from being passed.
func (m *Mirror) notify(listener Listener, changes external.Changes, now time.Time) {
	var matching []external.Entry
	for _, entry := range changes.Entries {
		if listener.Follows(entry.Key) {
			matching = append(matching, entry)
		}
	}
	fault.Contain(m.opts.Log, fmt.Sprintf("applying %d changes to %T", len(matching), listener), func() {
		listener.Apply(matching, changes.Whole, now)
	})
}

// handleFailure handles a call that failed after some time, and returns the pause before
// the next one. A call that hung has been part of the pause.
func (m *Mirror) handleFailure(ctx context.Context, err error, after time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if m.cursor != external.StartCursor && m.loadsAfter(err) {
		m.cursor = external.StartCursor
		return 0
	}
	m.noteOutage(time.Now(), err)
	return max(minRetryPause, m.retry.NextBackOff()-after)
}

// loadsAfter reports whether all keys must be read after a watch that failed.
func (m *Mirror) loadsAfter(err error) bool {
	switch {
	case errors.Is(err, external.ErrHistoryGone):
		m.opts.Log.Info("store history lost", "after", m.cursor)
	case errors.Is(err, external.ErrHistoryTooLarge):
		m.opts.Log.Info("store history larger than its keys", "after", m.cursor, "limit", m.limits().MaxBytes)
	default:
		return false
	}
	return true
}

// noteOutage records a failed call. It reports an outage that begins, and logs one that
// lasts at most once every lostLogInterval.
func (m *Mirror) noteOutage(now time.Time, err error) {
	o := &m.outage
	o.failures++
	switch {
	case o.start.IsZero():
		o.start, o.loggedAt = now, now
		m.opts.Log.Warn("store lost", "error", err)
		for _, listener := range m.listeners {
			listener.Outage(now, time.Time{})
		}
	case now.Sub(o.loggedAt) >= lostLogInterval:
		o.loggedAt = now
		m.opts.Log.Warn("store still lost", "outage", now.Sub(o.start), "failures", o.failures, "error", err)
	}
}

// endOutage reports the end of an outage if there was one.
func (m *Mirror) endOutage(now time.Time) {
	o := m.outage
	if o.start.IsZero() {
		return
	}
	m.outage = outage{}
	m.opts.Log.Info("store regained", "outage", now.Sub(o.start), "failures", o.failures)
	for _, listener := range m.listeners {
		listener.Outage(o.start, now)
	}
}

// outage describes the current outage of the store.
type outage struct {
	// start is when it was detected, or zero if there is none.
	start time.Time
	// loggedAt is when it was logged last.
	loggedAt time.Time
	// failures is the number of failed calls.
	failures int
}
