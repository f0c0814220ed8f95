package config

// SupplyKnobs steer the ordering of targets.
type SupplyKnobs struct {
	// MinTargets is the least count of targets of a model.
	MinTargets int64 `json:"minTargets" default:"1" unit:"targets" min:"0" max:"10000"`
	// MaxTargets is the greatest count of targets of a model.
	MaxTargets int64 `json:"maxTargets" default:"64" unit:"targets" min:"0" max:"10000"`
}
