package config

// AdmissionKnobs bound what a workspace may use.
type AdmissionKnobs struct {
	// RequestsPerSecond bounds a workspace's requests over the whole fleet.
	RequestsPerSecond float64 `json:"requestsPerSecond" default:"1000" unit:"requests/s" min:"0" max:"1000000"`
	// TokensPerSecond bounds a workspace's prompt and output tokens.
	TokensPerSecond float64 `json:"tokensPerSecond" default:"1000000" unit:"tokens/s" min:"0" max:"1000000000"`
	// Concurrency bounds a workspace's running requests over the whole fleet.
	Concurrency int64 `json:"concurrency" default:"2000" unit:"requests" min:"0" max:"1000000"`
	// QueueLimit bounds the requests of a workspace that wait at one daemon.
	QueueLimit int64 `json:"queueLimit" default:"200" unit:"requests" min:"0" max:"100000"`
	// Burst is how many seconds of a rate may be used at once.
	Burst Duration `json:"burst" default:"2s" unit:"duration" min:"100ms" max:"1m"`
	// OutputTokenCost is what an output token costs in prompt tokens.
	OutputTokenCost float64 `json:"outputTokenCost" default:"20" unit:"ratio" min:"0" max:"1000"`
	// LookupWait is the expected wait at the targets above which lookups stay
	// in the daemon's queue; likewise for the other classes.
	LookupWait      Duration `json:"lookupWait" default:"1s" unit:"duration" min:"0s" max:"1m"`
	InteractiveWait Duration `json:"interactiveWait" default:"2s" unit:"duration" min:"0s" max:"1m"`
	DeferrableWait  Duration `json:"deferrableWait" default:"50ms" unit:"duration" min:"0s" max:"1m"`
	// ExcessFactor is how many times its weight's part a workspace may take of
	// what is served before its interactive requests wait as long as
	// ExcessWait and DeferrableShare tell.
	ExcessFactor float64  `json:"excessFactor" default:"2" unit:"ratio" min:"1" max:"1000"`
	ExcessWait   Duration `json:"excessWait" default:"50ms" unit:"duration" min:"0s" max:"1m"`
	// DeferrableShare is the share of the engines' slots above which
	// deferrable requests stay in the daemon's queue.
	DeferrableShare float64 `json:"deferrableShare" default:"0.6" unit:"ratio" min:"0" max:"1"`
	// DeferrableSlack is how many times its expected run a deferrable
	// request's time to the deadline may shrink to before it is treated as
	// interactive.
	DeferrableSlack float64 `json:"deferrableSlack" default:"1.5" unit:"ratio" min:"1" max:"100"`
}
