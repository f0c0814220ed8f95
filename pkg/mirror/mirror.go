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
	// callTimeout bounds the next call. It is longer than Options.CallTimeout only while
	// all keys are read after an attempt that timed out.
	callTimeout time.Duration
	// outageStart is when the current outage was detected, or zero.
	outageStart time.Time
	retry       *backoff.ExponentialBackOff
}

// New returns a mirror that has not read the store yet.
func New(opts Options, listeners ...Listener) *Mirror {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryPause
	retry.MaxInterval = maxRetryPause
	return &Mirror{opts: opts, listeners: listeners, start: time.Now(), callTimeout: opts.CallTimeout, retry: retry}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.opts.Pause
		if err := m.step(ctx); err != nil {
			pause = m.handleFailure(ctx, err)
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
	call, cancel := context.WithTimeout(ctx, m.callTimeout)
	defer cancel()
	sentAt := time.Now()
	changes, err := m.opts.Store.Watch(call, m.opts.Prefix, m.cursor)
	if err != nil {
		return err
	}
	now := time.Now()
	m.endOutage(now)
	m.noteEra(changes.Next.Era(), now)
	m.cursor = changes.Next
	m.callTimeout = m.opts.CallTimeout
	m.retry.Reset()
	for _, listener := range m.listeners {
		m.notify(listener, changes, now)
	}
	m.confirmedAt.Store(max(1, int64(sentAt.Sub(m.start))))
	return nil
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

// handleFailure handles a failed call and returns the pause before the next one.
func (m *Mirror) handleFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, external.ErrHistoryGone) && m.cursor != external.StartCursor {
		m.opts.Log.Info("store history lost", "after", m.cursor)
		m.cursor = external.StartCursor
		return 0
	}
	if m.cursor == external.StartCursor && errors.Is(err, context.DeadlineExceeded) {
		m.callTimeout = min(maxLoadTimeout, loadTimeoutGrowth*m.callTimeout)
	}
	if m.outageStart.IsZero() {
		m.outageStart = time.Now()
		m.opts.Log.Warn("store lost", "error", err)
		for _, listener := range m.listeners {
			listener.Outage(m.outageStart, time.Time{})
		}
	}
	return m.retry.NextBackOff()
}

// endOutage reports the end of an outage if there was one.
func (m *Mirror) endOutage(now time.Time) {
	if m.outageStart.IsZero() {
		return
	}
	m.opts.Log.Info("store regained", "outage", now.Sub(m.outageStart))
	for _, listener := range m.listeners {
		listener.Outage(m.outageStart, now)
	}
	m.outageStart = time.Time{}
}
