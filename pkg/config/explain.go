package config

import (
	"fmt"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Origin is where an effective value comes from.
type Origin string

// Origins of effective values.
const (
	// FromBuiltin is the built-in value.
	FromBuiltin Origin = "built-in"
	// FromDefaults is a value from the document's defaults.
	FromDefaults Origin = "defaults"
	// FromException is a value set by an exception.
	FromException Origin = "exception"
)

// Explanation is the effective value of a knob and its origin.
type Explanation struct {
	Setting string `json:"setting"`
	Value   string `json:"value"`
	Unit    string `json:"unit"`
	Origin  Origin `json:"origin"`
	// Default is the value without the exception.
	Default string `json:"default"`
	// Exception is the exception that set the value, or nil.
	Exception *Exception `json:"exception,omitempty"`
}

// Explain returns the effective value of a setting for the names given in the
// selector, and its origin.
func (s *Snapshot) Explain(setting string, named Selector, now time.Time) (Explanation, error) {
	knob := knobTable().byPath[setting]
	if knob == nil {
		return Explanation{}, fault.New(fault.NotFound, fmt.Sprintf("unknown setting %q", setting), `name a setting by its path, such as "retry.maxAttempts"`)
	}
	builtin := BuiltinKnobs()
	byDefault := knob.fieldIn(&s.Document.Defaults)
	out := Explanation{Setting: setting, Unit: knob.Unit, Origin: FromDefaults, Value: formatScalar(byDefault), Default: formatScalar(byDefault)}
	if byDefault.Equal(knob.fieldIn(&builtin)) {
		out.Origin = FromBuiltin
	}
	for _, o := range s.resolver.overrides {
		if o.knob == knob && o.exception.Selector.matches(&named) && !o.exception.expired(now) {
			out.Origin = FromException
			out.Value = formatScalar(o.value)
			out.Exception = o.exception
		}
	}
	return out, nil
}
