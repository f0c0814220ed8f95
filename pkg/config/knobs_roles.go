package config

// RoleKnobs steer the planning of engines' roles.
type RoleKnobs struct {
	// ChangeSeconds is how long a role change takes an engine away.
	ChangeSeconds float64 `json:"changeSeconds" default:"8" unit:"s" min:"0" max:"600"`
	// Smoothing is the time constant of the demand's mean.
	Smoothing Duration `json:"smoothing" default:"15s" unit:"duration" min:"1s" max:"1h"`
	// DrainSeconds is how long an engine takes to run empty before a change.
	DrainSeconds float64 `json:"drainSeconds" default:"10" unit:"s" min:"0" max:"3600"`
	// Gain is the part of an engine that a fitting role gains. A change is
	// ordered once the demand has asked for it for as long as the gain takes
	// to repay the seconds lost.
	Gain float64 `json:"gain" default:"0.1" unit:"ratio" min:"0.001" max:"1"`
	// MixedShare is the share of a model's engines that stay mixed; at one no
	// role is ever changed.
	MixedShare float64 `json:"mixedShare" default:"1" unit:"ratio" min:"0" max:"1"`
	// PrefillShare is the share of a model's engines that compute prompts alone
	// where engines are kept in fixed shares; negative leaves their roles.
	PrefillShare float64 `json:"prefillShare" default:"-1" unit:"ratio" min:"-1" max:"1"`
	// Interval is the least time between two changes of one engine.
	Interval Duration `json:"interval" default:"60s" unit:"duration" min:"1s" max:"1h"`
	// RolloutShare is the share of a model's engines that may be away at once
	// to load another version; it is one engine at the least.
	RolloutShare float64 `json:"rolloutShare" default:"0.1" unit:"ratio" min:"0" max:"1"`
}
