package supply

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/config"
)

// MustMove reports whether running work must move off a target that leaves at
// leaveBy: whether it is expected to end later than MoveNotice before that time.
// A zero leaveBy means that the target is not leaving.
func MustMove(expectedEnd, leaveBy time.Time, knobs *config.SupplyKnobs) bool {
	return !leaveBy.IsZero() && expectedEnd.After(leaveBy.Add(-knobs.MoveNotice.D()))
}
