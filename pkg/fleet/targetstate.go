package fleet

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// TargetState is what the daemon knows of one target.
type TargetState struct {
	Record external.TargetRecord
	// Load is the last report; its Sequence is zero while none has come.
	Load LoadReport
	// LoadAt is when the report reached the fleet, on the daemon's clock.
	LoadAt time.Time
	// SeenAt is when the target's record was last confirmed by the platform,
	// directly or through a peer. A target whose record is too old gets
	// nothing new. It is zero where the record stands until it is withdrawn.
	SeenAt time.Time
	// Incarnation tells the lives of one target apart; zero where unknown.
	Incarnation ident.Incarnation
	// Cold says that the target is slow for a while after its start.
	Cold bool
	// Draining is set once no new work may go to the target.
	Draining bool
}
