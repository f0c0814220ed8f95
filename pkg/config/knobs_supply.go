package config

// SupplyKnobs steer the ordering of targets.
type SupplyKnobs struct {
	// MinTargets is the least count of targets of a model.
	MinTargets int64 `json:"minTargets" default:"1" unit:"targets" min:"0" max:"10000"`
	// MaxTargets is the greatest count of targets of a model.
	MaxTargets int64 `json:"maxTargets" default:"64" unit:"targets" min:"0" max:"10000"`
	// Headroom is the capacity that is held for each unit of demand.
	Headroom float64 `json:"headroom" default:"1.3" unit:"ratio" min:"1" max:"10"`
	// DependableShare is the least share of the interactive need that
	// dependable targets carry.
	DependableShare float64 `json:"dependableShare" default:"0.4" unit:"ratio" min:"0" max:"1"`
	// ReclaimablePrice is what a reclaimable target costs beside a dependable one.
	ReclaimablePrice float64 `json:"reclaimablePrice" default:"0.35" unit:"ratio" min:"0" max:"1"`
	// Smoothing is the time constant of the demand's mean.
	Smoothing Duration `json:"smoothing" default:"20s" unit:"duration" min:"1s" max:"24h"`
	// ShrinkDelay is how long a lower need must last before targets are returned.
	ShrinkDelay Duration `json:"shrinkDelay" default:"5m" unit:"duration" min:"0s" max:"24h"`
	// MissingAfter is how long an ordered reclaimable target may stay away
	// before a dependable one is ordered in its place.
	MissingAfter Duration `json:"missingAfter" default:"2m" unit:"duration" min:"1s" max:"24h"`
	// BarredFor is how long no reclaimable targets are ordered in a failure
	// domain that took some back or did not give what was ordered.
	BarredFor Duration `json:"barredFor" default:"10m" unit:"duration" min:"0s" max:"24h"`
	// MoveNotice is the least time before a target is gone at which running
	// work that would not end in time is moved off.
	MoveNotice Duration `json:"moveNotice" default:"2s" unit:"duration" min:"0s" max:"10m"`
	// DependablePerDomain is how many dependable targets of a model are kept in
	// each failure domain where counts are fixed; negative orders nothing.
	DependablePerDomain int64 `json:"dependablePerDomain" default:"-1" unit:"targets" min:"-1" max:"10000"`
	// ReclaimableShare is the share of the greatest count in a failure domain
	// that is kept as reclaimable targets then.
	ReclaimableShare float64 `json:"reclaimableShare" default:"0" unit:"ratio" min:"0" max:"1"`
	// LoadsAtOnce bounds the targets that read weights at the same time.
	LoadsAtOnce int64 `json:"loadsAtOnce" default:"4" unit:"targets" min:"1" max:"1000"`
}
