package config

// AdmissionKnobs limit what each workspace may use.
type AdmissionKnobs struct {
	// RequestsPerSecond limits a workspace's request rate across the fleet.
	RequestsPerSecond float64 `json:"requestsPerSecond" default:"1000" unit:"requests/s" min:"0" max:"1000000"`
	// TokensPerSecond limits a workspace's rate of prompt and output tokens.
	TokensPerSecond float64 `json:"tokensPerSecond" default:"1000000" unit:"tokens/s" min:"0" max:"1000000000"`
	// Concurrency limits a workspace's running requests across the fleet.
	Concurrency int64 `json:"concurrency" default:"2000" unit:"requests" min:"0" max:"1000000"`
	// QueueLimit limits a workspace's queued requests at each daemon. Lookups are
	// exempt.
	QueueLimit int64 `json:"queueLimit" default:"200" unit:"requests" min:"0" max:"100000"`
	// Burst is the burst size of the rate limits, as a duration at the limit's
	// rate.
	Burst Duration `json:"burst" default:"2s" unit:"duration" min:"100ms" max:"1m"`
	// OutputTokenCost is the cost of one output token in prompt tokens.
	OutputTokenCost float64 `json:"outputTokenCost" default:"20" unit:"ratio" min:"0" max:"1000"`
	// LookupWait is the expected wait at the targets above which lookups stay
	// in the daemon's queue; InteractiveWait and DeferrableWait are the same
	// for the other classes.
	LookupWait      Duration `json:"lookupWait" default:"1s" unit:"duration" min:"0s" max:"1m"`
	InteractiveWait Duration `json:"interactiveWait" default:"2s" unit:"duration" min:"0s" max:"1m"`
	DeferrableWait  Duration `json:"deferrableWait" default:"50ms" unit:"duration" min:"0s" max:"1m"`
	// ExcessFactor is the multiple of its weighted fair share that a workspace
	// may use before ExcessWait, in place of InteractiveWait, and DeferrableShare
	// apply to its interactive requests.
	ExcessFactor float64  `json:"excessFactor" default:"2" unit:"ratio" min:"1" max:"1000"`
	ExcessWait   Duration `json:"excessWait" default:"50ms" unit:"duration" min:"0s" max:"1m"`
	// DeferrableShare is the share of occupied engine slots from which on
	// deferrable requests stay in the daemon's queue.
	DeferrableShare float64 `json:"deferrableShare" default:"0.6" unit:"ratio" min:"0" max:"1"`
	// DeferrableSlack is a multiple of a deferrable request's expected run
	// time. Once the time left to the deadline is no more than that, the
	// request is treated as interactive.
	DeferrableSlack float64 `json:"deferrableSlack" default:"1.5" unit:"ratio" min:"1" max:"100"`
}
