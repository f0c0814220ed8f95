package supply

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// MustMove reports whether running work must move off a target that is gone at
// leaveBy, since its expected end is later than MoveNotice before that. A zero
// leaveBy means that the target is not leaving.
func MustMove(expectedEnd, leaveBy time.Time, knobs *config.SupplyKnobs) bool {
	return !leaveBy.IsZero() && expectedEnd.After(leaveBy.Add(-knobs.MoveNotice.D()))
}
