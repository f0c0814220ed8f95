package config

// Document is the whole dynamic configuration.
type Document struct {
	// Defaults hold for the whole fleet. Knobs that are left out keep the
	// built-in value.
	Defaults   Knobs       `json:"defaults"`
	Workspaces []Workspace `json:"workspaces"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
	Exceptions []Exception `json:"exceptions"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits,omitzero"`
}
