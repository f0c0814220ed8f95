package config

import (
	"encoding/json"
	"time"
)

// Exception overrides one knob for the requests that its selector matches.
type Exception struct {
	Selector Selector `json:"selector"`
	// Setting is the knob's path, such as "retry.maxAttempts".
	Setting string          `json:"setting"`
	Value   json.RawMessage `json:"value"`
	// Reason is required.
	Reason string `json:"reason"`
	// Expires is when the exception stops applying; zero means never.
	Expires time.Time `json:"expires,omitzero"`
}
