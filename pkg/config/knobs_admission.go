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
}
