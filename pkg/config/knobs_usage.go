package config

// UsageKnobs steer the closing of usage windows.
type UsageKnobs struct {
	// Window is the length of a usage window.
	Window Duration `json:"window" default:"1m" unit:"duration" min:"1s" max:"24h" scope:"fleet"`
	// Grace is how long after its end a window is closed.
	Grace Duration `json:"grace" default:"10s" unit:"duration" min:"0s" max:"1h" scope:"fleet"`
	// CheckpointEvery is how often a daemon writes its open figures.
	CheckpointEvery Duration `json:"checkpointEvery" default:"5s" unit:"duration" min:"100ms" max:"10m" scope:"fleet"`
}
