package config

// RoleKnobs steer the planning of engines' roles.
type RoleKnobs struct {
	// ChangeSeconds is how long a role change takes an engine away.
	ChangeSeconds float64 `json:"changeSeconds" default:"8" unit:"s" min:"0" max:"600"`
	// Horizon is how long a change's gain is reckoned over.
	Horizon Duration `json:"horizon" default:"60s" unit:"duration" min:"1s" max:"1h"`
	// Smoothing is the time constant of the demand's mean.
	Smoothing Duration `json:"smoothing" default:"15s" unit:"duration" min:"1s" max:"1h"`
	// Dwell is how long the demand must ask for a change before it is ordered.
	Dwell Duration `json:"dwell" default:"20s" unit:"duration" min:"0s" max:"1h"`
	// MixedShare is the share of a model's engines that stay mixed; at one no
	// role is ever changed.
	MixedShare float64 `json:"mixedShare" default:"0.5" unit:"ratio" min:"0" max:"1"`
	// Interval is the least time between two changes of one engine.
	Interval Duration `json:"interval" default:"60s" unit:"duration" min:"1s" max:"1h"`
}
