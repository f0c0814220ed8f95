package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// HandoverPrefix is the prefix of the keys of handover records.
const HandoverPrefix external.Key = "handover/"

// HandoverKeyOf returns the key of a duty's handover record. The key is bound to no lease
// and remains while nobody holds the duty.
func HandoverKeyOf(duty ident.Duty) external.Key { return HandoverPrefix + external.Key(duty) }

// HandoverRecord states whether calls of a duty's holders may still be under way. Each holder
// writes an unsettled one before its first call.
type HandoverRecord struct {
	Writer Writer       `json:"writer"`
	Era    external.Era `json:"era,omitempty"`
	// Before is the last other host that held the duty before the writer's.
	Before ident.Host `json:"before,omitempty"`
	// Settled is set by a holder that has stopped if no call of it, or of one before it, can
	// take effect any more.
	Settled bool `json:"settled,omitempty"`
}

// handover separates the calls of one holder of a duty from those of former holders: the
// work begins once none of the latter can take effect any more. A host whose successor hands the
// duty back to it waits as long, so that two hosts don't take turns within that time.
type handover struct {
	manager   *Manager
	authority *dutyAuthority
	writer    Writer
	// takenAt is when this process took the duty, by its own reading.
	takenAt time.Duration
	// version is that of the unsettled record, once it was written.
	version external.Version
	// wasSettled is whether the record before this holder's was settled, returns whether this
	// host held the duty before the last other one.
	wasSettled, returns bool
	// before is the last other host that held the duty.
	before ident.Host
	// begun is set once the work may begin.
	begun bool
}

// newHandover returns the handover to a process that has just taken a duty.
func (m *Manager) newHandover(a *dutyAuthority) *handover {
	return &handover{manager: m, authority: a, writer: m.nextWriter(), takenAt: m.opts.Clock.Now()}
}

// begin returns once the work may begin. It fails if ctx or the authority ends before.
func (h *handover) begin(ctx context.Context) error {
	delay := h.manager.timing.HandoverDelay
	if delay == 0 {
		return nil
	}
	for h.open(ctx) != nil {
		clock.Sleep(ctx, h.manager.timing.RankWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if !h.wasSettled || h.returns {
		h.manager.opts.Log.Info("duty's work delayed", "duty", h.authority.duty, "fencing", h.authority.fencing,
			"settled", h.wasSettled, "returns", h.returns, "delay", delay)
		h.waitUntil(ctx, h.takenAt+delay)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	h.begun = true
	return h.authority.Check()
}

// waitUntil waits for a time of the manager's clock or the end of ctx.
func (h *handover) waitUntil(ctx context.Context, until time.Duration) {
	for ctx.Err() == nil {
		remaining := until - h.manager.opts.Clock.Now()
		if remaining <= 0 {
			return
		}
		clock.Sleep(ctx, remaining)
	}
}

// open writes the unsettled record and finds out whether the one before was settled. An
// unreadable record or one of another era of the store counts as unsettled, a missing one too
// unless the whole system starts for the first time and the store has lost nothing.
func (h *handover) open(ctx context.Context) error {
	m := h.manager
	ctx, cancel := context.WithTimeout(ctx, m.timing.CallTimeout)
	defer cancel()
	entry, err := m.opts.Store.Get(ctx, HandoverKeyOf(h.authority.duty))
	if err != nil && !errors.Is(err, external.ErrKeyNotFound) {
		return err
	}
	era, _ := external.EraOf(m.opts.Store)
	var last HandoverRecord
	if json.Unmarshal(entry.Value, &last) != nil {
		last = HandoverRecord{}
	}
	if last.Writer == h.writer {
		// The response to the write was lost.
		h.version = entry.Version
		return nil
	}
	h.wasSettled = last.Settled && last.Era == era
	if entry.Version == external.NoVersion {
		h.wasSettled = m.opts.FirstStart && era == 0
	}
	h.before, h.returns = last.Writer.Host, last.Before == h.writer.Host
	if last.Writer.Host == h.writer.Host {
		h.before, h.returns = last.Before, false
	}
	h.version, err = h.write(ctx, entry.Version, HandoverRecord{Writer: h.writer, Era: era, Before: h.before})
	return err
}

// settle writes the settled record after the work has returned, unless a call may be under
// way. If that fails, the next holder waits.
func (h *handover) settle() {
	m := h.manager
	if !h.begun || h.authority.unansweredSince(m.opts.Clock.Now()-m.timing.HandoverDelay) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.timing.CallTimeout)
	defer cancel()
	era, _ := external.EraOf(m.opts.Store)
	if _, err := h.write(ctx, h.version, HandoverRecord{Writer: h.writer, Era: era, Before: h.before, Settled: true}); err != nil {
		m.opts.Log.Info("duty's handover not settled, the next holder waits", "duty", h.authority.duty, "error", err)
	}
}

// write replaces the record that has the base version.
func (h *handover) write(ctx context.Context, base external.Version, record HandoverRecord) (external.Version, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return external.NoVersion, err
	}
	return h.manager.opts.Store.CompareAndSwap(ctx, external.Swap{Key: HandoverKeyOf(h.authority.duty), Base: base, Value: value})
}
