package config

// BurnKnobs state the service-level objectives.
type BurnKnobs struct {
	// Availability is the share of requests that must be answered.
	Availability float64 `json:"availability" default:"0.999" unit:"ratio" min:"0" max:"1"`
	// FirstToken bounds the time to the first token.
	FirstToken Duration `json:"firstToken" default:"750ms" unit:"duration" min:"1ms" max:"1h"`
	// TokenGap bounds the time between tokens.
	TokenGap Duration `json:"tokenGap" default:"35ms" unit:"duration" min:"1ms" max:"1m"`
	// LatencyShare is the share of requests that must keep the bounds on time.
	LatencyShare float64 `json:"latencyShare" default:"0.95" unit:"ratio" min:"0" max:"1"`
}
