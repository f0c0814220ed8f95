package config

// UsageKnobs control how usage windows are recorded and closed.
type UsageKnobs struct {
	// Window is the length of a usage window.
	Window Duration `json:"window" default:"1m" unit:"duration" min:"1s" max:"24h" scope:"fleet"`
	// Grace is the time between the end of a window and its closing.
	Grace Duration `json:"grace" default:"10s" unit:"duration" min:"0s" max:"1h" scope:"fleet"`
	// CheckpointEvery is how often a daemon writes the counts of open windows
	// to the store.
	CheckpointEvery Duration `json:"checkpointEvery" default:"5s" unit:"duration" min:"100ms" max:"10m" scope:"fleet"`
}
