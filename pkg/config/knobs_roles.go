package config

// RoleKnobs control the planning of engine roles.
type RoleKnobs struct {
	// ChangeSeconds is how long an engine is assumed to be unavailable during a
	// role change when the loss is weighed against the gain. Model.SwitchTime
	// determines how long the engine gets no new work.
	ChangeSeconds float64 `json:"changeSeconds" default:"8" unit:"s" min:"0" max:"600"`
	// Smoothing is the time constant of the demand's moving average.
	Smoothing Duration `json:"smoothing" default:"15s" unit:"duration" min:"1s" max:"1h"`
	// DrainSeconds is how long an engine takes to drain before a change.
	DrainSeconds float64 `json:"drainSeconds" default:"10" unit:"s" min:"0" max:"3600"`
	// Gain is the capacity gained by changing an engine to the role that the
	// demand requires, as a share of one engine. A change is ordered once it
	// has been proposed for the time in which the gain makes up for
	// DrainSeconds and ChangeSeconds.
	Gain float64 `json:"gain" default:"0.1" unit:"ratio" min:"0.001" max:"1"`
	// MixedShare is the share of a model's engines that keep the mixed role;
	// at one no role is ever changed.
	MixedShare float64 `json:"mixedShare" default:"1" unit:"ratio" min:"0" max:"1"`
	// PrefillShare is the share of a model's engines that only compute prompts
	// when the roles are kept in fixed shares; a negative value leaves the
	// roles unchanged.
	PrefillShare float64 `json:"prefillShare" default:"-1" unit:"ratio" min:"-1" max:"1"`
	// Interval is the minimum time between two role changes of one engine.
	Interval Duration `json:"interval" default:"60s" unit:"duration" min:"1s" max:"1h"`
	// RolloutShare is the share of a model's engines that may be unavailable
	// at the same time to load another version; at least one engine may.
	RolloutShare float64 `json:"rolloutShare" default:"0.1" unit:"ratio" min:"0" max:"1"`
}
