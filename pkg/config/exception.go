package config

import (
	"encoding/json"
	"time"
)

// Exception sets one knob otherwise for what its selector matches.
type Exception struct {
	Selector Selector `json:"selector"`
	// Setting is the knob's path, such as "retry.maxAttempts".
	Setting string          `json:"setting"`
	Value   json.RawMessage `json:"value"`
	// Reason must be given.
	Reason string `json:"reason"`
	// Expires ends the exception by itself where it is set.
	Expires time.Time `json:"expires,omitzero"`
}
