package config

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// expiry is when the exception for the model expires.
var expiry = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// resolverSnapshot returns a snapshot with one exception for workspace a and a more
// specific, expiring one for workspace a and model m.
func resolverSnapshot(tb testing.TB) *Snapshot {
	tb.Helper()
	attempts := `"setting": "retry.maxAttempts", "reason": "r", "value": `
	text := documentWith("", `{"selector": {"workspace": "a", "model": "m"}, "expires": "2026-06-01T00:00:00Z", `+attempts+`7},
		{"selector": {"workspace": "a"}, `+attempts+`5}`)
	document, err := Parse([]byte(strings.Replace(text, ", ]", "]", 1)))
	must.NoError(tb, err)
	return NewSnapshot(1, document)
}

func TestMoreSpecificExceptionAppliesUntilItExpires(t *testing.T) {
	s := resolverSnapshot(t)
	before, after := expiry.Add(-time.Second), expiry
	for range 2 {
		must.Eq(t, 7, s.KnobsAt(Selector{Workspace: "a", Model: "m", Route: "chat"}, before).Retry.MaxAttempts)
		must.Eq(t, 5, s.KnobsAt(Selector{Workspace: "a", Route: "chat"}, before).Retry.MaxAttempts)
		must.Eq(t, 3, s.KnobsAt(Selector{Workspace: "b", Model: "m"}, before).Retry.MaxAttempts)
	}
	must.Eq(t, 5, s.KnobsAt(Selector{Workspace: "a", Model: "m"}, after).Retry.MaxAttempts)
}

func TestExplainReportsOrigin(t *testing.T) {
	s := resolverSnapshot(t)
	explained, err := s.Explain("retry.maxAttempts", Selector{Workspace: "a", Model: "m"}, expiry.Add(-time.Second))
	must.NoError(t, err)
	must.Eq(t, FromException, explained.Origin)
	must.Eq(t, "7", explained.Value)
	must.Eq(t, "r", explained.Exception.Reason)
	explained, err = s.Explain("retry.maxAttempts", Selector{Workspace: "b"}, expiry)
	must.NoError(t, err)
	must.Eq(t, FromBuiltin, explained.Origin)
	_, err = s.Explain("retry.none", Selector{}, expiry)
	must.Error(t, err)
}

func TestRouteRejectsDotSegments(t *testing.T) {
	text := documentWith(`{"name": "open", "path": "/services/s/health", "methods": ["GET"], "service": "s", "class": "lookup", "idempotent": true, "open": true}`, "")
	document, err := Parse([]byte(text))
	must.NoError(t, err)
	s := NewSnapshot(1, document)
	must.NotNil(t, s.Route("", "GET", "/services/s/health", ""))
	must.Nil(t, s.Route("", "GET", "/services/s/health/../orders", ""))
	must.Nil(t, s.Route("", "GET", "/services/s/health/..", ""))
}

func TestCachedKnobsDoNotAllocate(t *testing.T) {
	s := resolverSnapshot(t)
	named := Selector{Workspace: "a", Model: "m", Route: "chat"}
	s.Knobs(named)
	must.Zero(t, testing.AllocsPerRun(100, func() { s.Knobs(named) }))
}

func TestEveryKnobHasUnitRangeAndDefaultInRange(t *testing.T) {
	builtin := BuiltinKnobs()
	for _, knob := range KnobTable() {
		must.NotEq(t, "", knob.Unit, must.Sprint(knob.Path))
		must.NoError(t, knob.checkRange(knob.fieldIn(&builtin)), must.Sprint(knob.Path))
	}
}

func BenchmarkKnobs(b *testing.B) {
	s := resolverSnapshot(b)
	named := Selector{Workspace: "a", Model: "m", Route: "chat"}
	b.ReportAllocs()
	for b.Loop() {
		s.Knobs(named)
	}
}
