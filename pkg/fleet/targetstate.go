package fleet

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TargetState is the last known state of one target.
type TargetState struct {
	Record external.TargetRecord
	// Load is the last report; its Sequence is zero before the first one.
	Load LoadReport
	// LoadAt is when the report was last known to be current, by this daemon's
	// clock: when this daemon read it, or last received a message from the
	// daemon that did.
	LoadAt time.Time
	// SeenAt is when the platform last confirmed the target's record, directly
	// or through a peer. A target whose record is too old gets no new work. It
	// is zero if the record is valid until it is removed.
	SeenAt time.Time
	// UsableUntil is when the target gets no new work any more unless its record is
	// back, or zero if its record is there.
	UsableUntil time.Time
	// Incarnation distinguishes restarts of the target; zero if unknown.
	Incarnation ident.Incarnation
	// Cold is set while the target is slow after its start.
	Cold bool
	// Draining is set if no new work may be sent to the target.
	Draining bool
}
