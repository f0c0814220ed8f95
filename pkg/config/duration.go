package config

import (
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that is written as text, such as "250ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// JSONType describes how a duration is written in a document.
func (Duration) JSONType() string { return `a duration with its unit in quotes (such as "250ms")` }

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "not a duration with its unit, such as \"250ms\"")
	}
	*d = Duration(parsed)
	return nil
}
