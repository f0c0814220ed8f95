package config

import (
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

func TestParseKeepsBuiltinValuesOfOmittedKnobs(t *testing.T) {
	document, err := Parse([]byte(`{
		// One knob only.
		"defaults": {"retry": {"maxAttempts": 2}},
	}`))
	must.NoError(t, err)
	must.Eq(t, 2, document.Defaults.Retry.MaxAttempts)
	must.Eq(t, BuiltinKnobs().Retry.Timeout, document.Defaults.Retry.Timeout)
}

func TestParseRejectsUnknownFields(t *testing.T) {
	_, err := Parse([]byte(`{"defaults": {"retry": {"attempts": 2}}}`))
	must.Error(t, err)
	must.Eq(t, fault.Invalid, fault.KindOf(err))
}
