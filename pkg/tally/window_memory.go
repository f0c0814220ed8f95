package tally

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

const (
	// restoreTime is how long after the first answer of a new era no window is closed,
	// so that all daemons can write what they remember. It covers the time until they
	// have read the store, then restoreJitter for the closed window, and lostGrace and
	// flushInterval for checkpoints.
	restoreTime = 6 * time.Second
	// restoreJitter is the longest random delay before a daemon writes the newest
	// closed window that it remembers.
	restoreJitter = time.Second
	// restoreRetry is the pause between attempts to write it.
	restoreRetry = 300 * time.Millisecond
)

// WindowMemory remembers the newest closed window, and writes it again if the store came
// back from a copy that doesn't have it. Every daemon has one.
type WindowMemory struct {
	store external.Store
	time  *SteadyWallClock
	log   *slog.Logger

	mu sync.Mutex
	// closed is the newest closed window that is known, or nil.
	closed *ClosedWindow
	// loaded is set once the store was read whole.
	loaded bool
	// era is the store's present era, and eraSince when it became known.
	era      external.Era
	eraSince time.Time
	// witness is set if this daemon knew the closed windows in the era before.
	witness bool
}

var _ mirror.Listener = (*WindowMemory)(nil)

// NewWindowMemory returns a memory that knows no window yet.
func NewWindowMemory(store external.Store, t *SteadyWallClock, log *slog.Logger) *WindowMemory {
	return &WindowMemory{store: store, time: t, log: log, eraSince: t.Now()}
}

// Follows reports whether a key holds the newest closed window.
func (m *WindowMemory) Follows(key external.Key) bool { return key == windowKey }

// Outage does nothing, since closed windows stay known.
func (m *WindowMemory) Outage(_, _ time.Time) {}

// Apply remembers the newest closed window.
func (m *WindowMemory) Apply(entries []external.Entry, whole bool, _ time.Time) {
	for i := range entries {
		if entries[i].Deleted {
			continue
		}
		closed, err := decodeClosed(entries[i].Value)
		if err != nil {
			m.log.Error("closed usage window unreadable", "key", entries[i].Key, "error", err)
			continue
		}
		m.Remember(*closed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkEra()
	m.loaded = m.loaded || whole
}

// Remember records a closed window that this or another daemon has fixed.
func (m *WindowMemory) Remember(closed ClosedWindow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	merged := merge(m.closed, &closed)
	m.closed = &merged
}

// checkEra notes a rise of the store's era. The caller holds m.mu.
func (m *WindowMemory) checkEra() {
	era, _ := external.EraOf(m.store)
	if era == m.era {
		return
	}
	m.witness = m.loaded && m.reliable(m.closed)
	m.era, m.eraSince = era, m.time.Now()
}

// reliable reports whether no window that is later than the given one, which may be nil,
// can have been reported. In a later era than the first, that takes a daemon that knew
// the windows of the era before, or that has confirmed this one. The caller holds m.mu.
func (m *WindowMemory) reliable(closed *ClosedWindow) bool {
	return m.era == 0 || m.witness || closed != nil && closed.Era == m.era
}

// restoring reports whether daemons may still write what the store has lost, so that no
// window may be closed.
func (m *WindowMemory) restoring() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkEra()
	return m.era > 0 && m.time.Now().Sub(m.eraSince) < restoreTime
}

// unknownBefore returns the time before which windows may have ended that were reported
// without this daemon's knowledge.
func (m *WindowMemory) unknownBefore() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era == 0 {
		return m.time.Now()
	}
	return m.eraSince
}

// newest returns the newest closed window in the present era, given the stored one or
// nil, and whether no later one can have been reported. If none is known it returns
// window 0.
func (m *WindowMemory) newest(stored *ClosedWindow) (closed ClosedWindow, reliable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkEra()
	if stored == nil && m.closed == nil {
		return ClosedWindow{Reported: true, FixedIn: m.era, Era: m.era}, false
	}
	closed, reliable = merge(m.closed, stored), m.reliable(stored)
	closed.Era = m.era
	return closed, reliable
}

// read returns the stored newest closed window, or nil if there is none, and its
// version.
func (m *WindowMemory) read(ctx context.Context) (*ClosedWindow, external.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := m.store.Get(ctx, windowKey)
	if errors.Is(err, external.ErrKeyNotFound) {
		return nil, external.NoVersion, nil
	}
	if err != nil {
		return nil, external.NoVersion, err
	}
	closed, err := decodeClosed(entry.Value)
	return closed, entry.Version, err
}

// Run writes the newest closed window after each rise of the store's era until ctx ends.
func (m *WindowMemory) Run(ctx context.Context) error {
	_, risen := external.EraOf(m.store)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-risen:
		}
		_, risen = external.EraOf(m.store)
		m.restoreUntil(ctx, risen)
	}
}

// restoreUntil writes the newest closed window, and retries until it is in the store or
// the era rises again.
func (m *WindowMemory) restoreUntil(ctx context.Context, risen <-chan struct{}) {
	pause := rand.N(restoreJitter)
	for {
		select {
		case <-ctx.Done():
			return
		case <-risen:
			return
		case <-time.After(pause):
		}
		err := m.restore(ctx)
		if err == nil {
			return
		}
		m.log.Debug("closed usage window not written again", "error", err)
		pause = restoreRetry
	}
}

// restore writes the newest closed window unless the store has it in the present era.
func (m *WindowMemory) restore(ctx context.Context) error {
	stored, version, err := m.read(ctx)
	if err != nil {
		return err
	}
	closed, reliable := m.newest(stored)
	if !reliable || stored != nil && closed.equal(stored) {
		return nil
	}
	value, err := json.Marshal(&closed)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err = m.store.CompareAndSwap(ctx, external.Swap{Key: windowKey, Base: version, Value: value}); err != nil {
		return err
	}
	m.log.Info("closed usage window written again", "window", closed.Window, "reported", closed.Reported, "fixedIn", closed.FixedIn, "era", closed.Era)
	return nil
}

// decodeClosed decodes a closed window.
func decodeClosed(value []byte) (*ClosedWindow, error) {
	closed := &ClosedWindow{}
	err := json.Unmarshal(value, closed)
	return closed, err
}
