package config

// Document is the whole dynamic configuration.
type Document struct {
	// Defaults apply to the whole fleet. Omitted knobs keep their built-in
	// values.
	Defaults   Knobs       `json:"defaults"`
	Workspaces []Workspace `json:"workspaces"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
	Exceptions []Exception `json:"exceptions"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits,omitzero"`
}
