package config

import (
	"fmt"
	"time"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

// Origin says where an effective value comes from.
type Origin string

// The origins.
const (
	// FromBuiltin values are the program's own.
	FromBuiltin Origin = "built-in"
	// FromDefaults values stand in the document's defaults.
	FromDefaults Origin = "defaults"
	// FromException values are set by an exception.
	FromException Origin = "exception"
)

// Explanation is one effective value and its source.
type Explanation struct {
	Setting string `json:"setting"`
	Value   string `json:"value"`
	Unit    string `json:"unit"`
	Origin  Origin `json:"origin"`
	// Default is the value without the exception.
	Default string `json:"default"`
	// Exception is the one that set the value, or nil.
	Exception *Exception `json:"exception,omitempty"`
}

// Explain returns the value of a setting for what the selector names, and its
// source.
func (s *Snapshot) Explain(setting string, named Selector, now time.Time) (Explanation, error) {
	knob := knobTable().byPath[setting]
	if knob == nil {
		return Explanation{}, fault.New(fault.NotFound, fmt.Sprintf("there is no setting %q", setting), "see the table of settings in the operators' page")
	}
	builtin := BuiltinKnobs()
	byDefault := knob.in(&s.Document.Defaults)
	out := Explanation{Setting: setting, Unit: knob.Unit, Origin: FromDefaults, Value: text(byDefault), Default: text(byDefault)}
	if byDefault.Equal(knob.in(&builtin)) {
		out.Origin = FromBuiltin
	}
	for _, o := range s.resolver.overrides {
		if o.knob == knob && o.exception.Selector.matches(&named) && !o.exception.expired(now) {
			out.Origin = FromException
			out.Value = text(o.value)
			out.Exception = o.exception
		}
	}
	return out, nil
}
