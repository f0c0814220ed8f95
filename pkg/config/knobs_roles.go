package config

// RoleKnobs steer the planning of engines' roles.
type RoleKnobs struct {
	// ChangeSeconds is how long a role change takes an engine away.
	ChangeSeconds float64 `json:"changeSeconds" default:"8" unit:"s" min:"0" max:"600"`
}
