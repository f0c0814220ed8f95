package burn

import "amaranthplank.example/amaranthplank/pkg/config"

// Objective is one service-level objective.
type Objective uint8

// The objectives.
const (
	// Availability counts requests that were answered.
	Availability Objective = iota
	// FirstToken counts answers whose first part arrived in time.
	FirstToken
	// TokenGap counts streams whose mean time between parts was within the
	// bound.
	TokenGap
	// Deadline counts requests with a deadline that were answered before it.
	Deadline
	// objectiveCount is the number of objectives.
	objectiveCount
)

// String returns the objective's name in reports and metrics.
func (o Objective) String() string {
	return [...]string{"availability", "first-token", "token-gap", "deadline"}[o]
}

// share returns the share of requests that must meet the objective.
func (o Objective) share(knobs *config.BurnKnobs) float64 {
	if o == Availability {
		return knobs.Availability
	}
	return knobs.LatencyShare
}
