package config

// SupplyKnobs control the ordering of targets.
type SupplyKnobs struct {
	// MinTargets is the minimum number of targets of a model.
	MinTargets int64 `json:"minTargets" default:"1" unit:"targets" min:"0" max:"10000"`
	// MaxTargets is the maximum number of targets of a model.
	MaxTargets int64 `json:"maxTargets" default:"64" unit:"targets" min:"0" max:"10000"`
	// Headroom is the capacity provisioned per unit of demand.
	Headroom float64 `json:"headroom" default:"1.3" unit:"ratio" min:"1" max:"10"`
	// DependableShare is the minimum share of the interactive demand that
	// dependable targets cover.
	DependableShare float64 `json:"dependableShare" default:"0.4" unit:"ratio" min:"0" max:"1"`
	// ReclaimablePrice is the price of a reclaimable target relative to a
	// dependable one.
	ReclaimablePrice float64 `json:"reclaimablePrice" default:"0.35" unit:"ratio" min:"0" max:"1"`
	// Smoothing is the time constant of the demand's moving average.
	Smoothing Duration `json:"smoothing" default:"20s" unit:"duration" min:"1s" max:"24h"`
	// ShrinkDelay is how long a lower demand must last before targets are
	// returned.
	ShrinkDelay Duration `json:"shrinkDelay" default:"5m" unit:"duration" min:"0s" max:"24h"`
	// MissingAfter is how long an ordered reclaimable target may be missing
	// before a dependable one is ordered in its place.
	MissingAfter Duration `json:"missingAfter" default:"2m" unit:"duration" min:"1s" max:"24h"`
	// BarredFor is how long no reclaimable targets are ordered in a failure
	// domain after it reclaimed some or did not supply those ordered.
	BarredFor Duration `json:"barredFor" default:"10m" unit:"duration" min:"0s" max:"24h"`
	// MoveNotice is the safety margin before a target is reclaimed: running
	// work that is expected to end later than that is moved to another target.
	MoveNotice Duration `json:"moveNotice" default:"2s" unit:"duration" min:"0s" max:"10m"`
	// DependablePerDomain is how many dependable targets of a model are kept in
	// each failure domain when the counts are fixed; a negative value orders
	// nothing.
	DependablePerDomain int64 `json:"dependablePerDomain" default:"-1" unit:"targets" min:"-1" max:"10000"`
	// ReclaimableShare is how many reclaimable targets are kept in each failure
	// domain when the counts are fixed, as a share of the maximum there.
	ReclaimableShare float64 `json:"reclaimableShare" default:"0" unit:"ratio" min:"0" max:"1"`
	// LoadsAtOnce limits by how many the ordered targets of a model exceed the
	// present ones, and so how many load weights at the same time.
	LoadsAtOnce int64 `json:"loadsAtOnce" default:"4" unit:"targets" min:"1" max:"1000"`
}
