package supply

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// MustMove reports whether work that is expected to end at a time must leave a
// target that is gone by leaveBy: it would not end in time.
func MustMove(expectedEnd, leaveBy time.Time, knobs *config.SupplyKnobs) bool {
	return !leaveBy.IsZero() && expectedEnd.After(leaveBy.Add(-knobs.MoveNotice.D()))
}
