package config

// BurnKnobs are the service-level objectives whose error budget burn is tracked.
type BurnKnobs struct {
	// Availability is the required share of requests that are answered.
	Availability float64 `json:"availability" default:"0.999" unit:"ratio" min:"0" max:"1"`
	// FirstToken is the limit on the time to the first token.
	FirstToken Duration `json:"firstToken" default:"750ms" unit:"duration" min:"1ms" max:"1h"`
	// TokenGap is the limit on the time between tokens.
	TokenGap Duration `json:"tokenGap" default:"35ms" unit:"duration" min:"1ms" max:"1m"`
	// LatencyShare is the required share of requests that meet the latency
	// limits.
	LatencyShare float64 `json:"latencyShare" default:"0.95" unit:"ratio" min:"0" max:"1"`
}
