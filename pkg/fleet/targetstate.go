package fleet

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/platform"
)

// TargetState is what the daemon knows of one target.
type TargetState struct {
	Record platform.TargetRecord
	// Load is the last report; its Sequence is zero while none has come.
	Load LoadReport
	// LoadAt is when the report reached the fleet, on the daemon's clock.
	LoadAt time.Time
	// SeenAt is when the target's record was last confirmed by the platform,
	// directly or through a peer. A target whose record is too old gets
	// nothing new.
	SeenAt time.Time
	// Draining is set once no new work may go to the target.
	Draining bool
}
