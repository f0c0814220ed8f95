package tally

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/mirror"
)

// lostGrace is how long after the store came back from an older copy the daemons have to
// write their own checkpoints again, before others write those that they remember.
const lostGrace = 2500 * time.Millisecond

// CheckpointMemory remembers the checkpoints that the store holds. If it comes back from
// an older copy, the lost checkpoints of daemons that have ended are passed to a
// StandbyWriter.
type CheckpointMemory struct {
	standby *StandbyWriter
	log     *slog.Logger

	// The other fields are used only by the mirror's goroutine.

	// era is the era in which the store was last read whole.
	era external.Era
	// stored holds the encoded checkpoints that the store holds.
	stored map[external.Key][]byte
	// lost holds checkpoints that the store has lost, and due is when those that are
	// still missing are written.
	lost map[external.Key][]byte
	due  time.Time
}

var _ mirror.Listener = (*CheckpointMemory)(nil)

// NewCheckpointMemory returns a memory that knows no checkpoint yet.
func NewCheckpointMemory(standby *StandbyWriter, log *slog.Logger) *CheckpointMemory {
	return &CheckpointMemory{
		standby: standby, log: log, stored: make(map[external.Key][]byte), lost: make(map[external.Key][]byte),
	}
}

// Follows reports whether a key holds a checkpoint.
func (m *CheckpointMemory) Follows(key external.Key) bool {
	return strings.HasPrefix(string(key), string(CheckpointPrefix))
}

// Outage does nothing, since checkpoints stay known.
func (m *CheckpointMemory) Outage(_, _ time.Time) {}

// Apply remembers changed checkpoints.
func (m *CheckpointMemory) Apply(entries []external.Entry, whole bool, now time.Time) {
	m.standby.observe(entries, whole)
	before := m.stored
	if whole {
		m.stored = make(map[external.Key][]byte, len(entries))
	}
	for i := range entries {
		if entries[i].Deleted {
			delete(m.stored, entries[i].Key)
			continue
		}
		m.stored[entries[i].Key] = entries[i].Value
	}
	if era, _ := external.EraOf(m.standby.store); whole && era != m.era {
		m.era = era
		m.noteLost(before, now)
	}
	if len(m.lost) > 0 && !now.Before(m.due) {
		m.handOver()
	}
}

// noteLost notes the checkpoints that were in the store before and are not now.
func (m *CheckpointMemory) noteLost(before map[external.Key][]byte, now time.Time) {
	for key, value := range before {
		if !bytes.Equal(value, m.stored[key]) {
			m.lost[key] = value
		}
	}
	m.due = now.Add(lostGrace)
}

// handOver passes the lost checkpoints of which the store has no newer one to the
// StandbyWriter.
func (m *CheckpointMemory) handOver() {
	for key, value := range m.lost {
		if !isOlder(m.stored[key], value) {
			continue
		}
		m.log.Info("lost usage checkpoint written again", "key", key)
		if err := m.standby.Hold(CheckpointMessage{Checkpoint: value, Refused: true}); err != nil {
			m.log.Error("usage checkpoint unreadable", "key", key, "error", err)
		}
	}
	clear(m.lost)
}

// isOlder reports whether an encoded checkpoint, or none, is older than another.
func isOlder(value, other []byte) bool {
	if value == nil {
		return true
	}
	known, err := DecodeCheckpoint(value)
	newer, otherErr := DecodeCheckpoint(other)
	return otherErr == nil && (err != nil || known.Through.Before(newer.Through))
}
