package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/jsonc"
)

// documentTemplate is a valid document with placeholders for a route and an
// exception.
const documentTemplate = `{
"workspaces": [{"name": "a", "weight": 1, "keys": []}, {"name": "b", "weight": 1, "keys": []}],
"models": [{"name": "m", "version": "1"}], "services": [{"name": "s"}],
"routes": [{"name": "chat", "path": "/v1/chat", "class": "interactive", "idempotent": true}, ROUTE],
"exceptions": [EXCEPTION],
}`

// documentWith returns the template with the given route and exceptions.
func documentWith(route, exception string) string {
	text := strings.Replace(documentTemplate, "ROUTE", route, 1)
	return strings.Replace(text, "EXCEPTION", exception, 1)
}

// problemsOf returns the problems listed in an error of Check.
func problemsOf(err error) []jsonc.Problem {
	var problems *jsonc.ProblemsError
	if errors.As(err, &problems) {
		return problems.Problems
	}
	return nil
}

// TestCheckReportsLineFieldAndRemedyOfEachProblem checks the fields reported for
// each kind of problem, in order of their lines.
func TestCheckReportsLineFieldAndRemedyOfEachProblem(t *testing.T) {
	digest := string(DigestKey("k"))
	exception := func(selector, rest string) string {
		return `{"selector": ` + selector + `, "reason": "r", ` + rest + `}`
	}
	attempts := `"setting": "retry.maxAttempts", "value": 5`
	cases := map[string]struct {
		text   string
		fields []string
	}{
		"unknown field":    {`{"default": {}}`, []string{"default"}},
		"two unknown":      {`{"x": 1, "defaults": {"y": 1}}`, []string{"x", "defaults.y"}},
		"field twice":      {`{"models": [], "models": []}`, []string{"models"}},
		"wrong type":       {`{"defaults": {"retry": {"maxAttempts": "3"}}}`, []string{"defaults.retry.maxAttempts"}},
		"no unit":          {`{"defaults": {"retry": {"timeout": 5}}}`, []string{"defaults.retry.timeout"}},
		"below range":      {`{"defaults": {"retry": {"maxAttempts": 0}}}`, []string{"defaults.retry.maxAttempts"}},
		"above range":      {`{"defaults": {"retry": {"timeout": "25h"}}}`, []string{"defaults.retry.timeout"}},
		"null":             {`{"workspaces": null}`, []string{"workspaces"}},
		"list for object":  {`{"defaults": []}`, []string{"defaults"}},
		"name missing":     {`{"models": [{"version": "1"}]}`, []string{"models[0].name"}},
		"name twice":       {`{"models": [{"name": "m"}, {"name": "m"}]}`, []string{"models[1].name"}},
		"weight":           {`{"workspaces": [{"name": "a", "keys": []}]}`, []string{"workspaces[0].weight"}},
		"malformed digest": {`{"workspaces": [{"name": "a", "weight": 1, "keys": [{"name": "k", "digest": "secret"}]}]}`, []string{"workspaces[0].keys[0].digest"}},
		"digest twice":     {`{"workspaces": [{"name": "a", "weight": 1, "keys": [{"name": "k", "digest": "` + digest + `"}, {"name": "l", "digest": "` + digest + `"}]}]}`, []string{"workspaces[0].keys[1].digest"}},
		"unknown model":    {documentWith(`{"name": "r", "path": "/v2", "model": "x", "class": "lookup"}`, ""), []string{"routes[1].model"}},
		"unknown service":  {documentWith(`{"name": "r", "path": "/services/x/", "service": "x", "class": "lookup"}`, ""), []string{"routes[1].service"}},
		"service's path":   {documentWith(`{"name": "r", "path": "/services/", "service": "s", "class": "lookup"}`, ""), []string{"routes[1].path"}},
		"class and method": {documentWith(`{"name": "r", "path": "/v2", "class": "fast", "methods": ["get"]}`, ""), []string{"routes[1].methods[0]", "routes[1].class"}},
		"open too wide":    {documentWith(`{"name": "r", "path": "/v2", "class": "lookup", "open": true}`, ""), []string{"routes[1].open", "routes[1].open", "routes[1].open"}},
		"shadowed route":   {documentWith(`{"name": "r", "path": "/v1/chat/x", "class": "lookup"}`, ""), []string{"routes[1]"}},
		"empty reason":     {documentWith("", `{"selector": {"workspace": "a"}, "reason": " ", `+attempts+`}`), []string{"exceptions[0].reason"}},
		"empty selector":   {documentWith("", exception(`{}`, attempts)), []string{"exceptions[0].selector"}},
		"unknown name":     {documentWith("", exception(`{"workspace": "z"}`, attempts)), []string{"exceptions[0].selector.workspace"}},
		"unknown setting":  {documentWith("", exception(`{"workspace": "a"}`, `"setting": "retry.max", "value": 5`)), []string{"exceptions[0].setting"}},
		"fleet-wide":       {documentWith("", exception(`{"workspace": "a"}`, `"setting": "usage.window", "value": "5s"`)), []string{"exceptions[0].setting"}},
		"value's range":    {documentWith("", exception(`{"workspace": "a"}`, `"setting": "retry.maxAttempts", "value": 11`)), []string{"exceptions[0].value"}},
		"value missing":    {documentWith("", exception(`{"workspace": "a"}`, `"setting": "retry.maxAttempts"`)), []string{"exceptions[0].value"}},
		"is the default":   {documentWith("", exception(`{"workspace": "a"}`, `"setting": "retry.timeout", "value": "300s"`)), []string{"exceptions[0].value"}},
		"same specificity": {documentWith("", exception(`{"workspace": "a"}`, attempts)+","+exception(`{"model": "m"}`, attempts)), []string{"exceptions[1]"}},
		"expired":          {documentWith("", exception(`{"workspace": "a"}`, attempts+`, "expires": "2020-01-01T00:00:00Z"`)), []string{"exceptions[0].expires"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(c.text, ", ]", "]", 1)
			_, err := Check([]byte(text), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			var fields []string
			for _, problem := range problemsOf(err) {
				fields = append(fields, problem.Field)
				must.NotEq(t, "", problem.Remedy)
				must.Positive(t, problem.Line)
			}
			must.Eq(t, c.fields, fields)
		})
	}
}

func TestCheckAcceptsExceptionsWithDifferentSpecificityOrNames(t *testing.T) {
	attempts := `"setting": "retry.maxAttempts", "reason": "r", "value": `
	text := documentWith("", `{"selector": {"workspace": "a"}, `+attempts+`5}, {"selector": {"workspace": "b"}, `+attempts+`6},
		{"selector": {"workspace": "a", "model": "m"}, `+attempts+`7}`)
	_, err := Check([]byte(strings.Replace(text, ", ]", "]", 1)), time.Now())
	must.NoError(t, err)
}

// TestParseRejectsDeepNesting guards against exhausting the stack: the parser
// recurses once per level.
func TestParseRejectsDeepNesting(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<19), strings.Repeat(`["]",`, 1<<17), strings.Repeat("[/*]*/", 1<<17)} {
		_, err := Parse([]byte(text))
		must.Eq(t, fault.Invalid, fault.KindOf(err))
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"himalsetu", "kivotos"} {
		text, err := os.ReadFile("../../examples/" + name + ".jsonc")
		must.NoError(t, err)
		document, err := Check(text, time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC))
		must.NoError(t, err)
		must.SliceLen(t, 8, document.Workspaces)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(documentWith(`{"name": "r", "path": "/v2"}`, `{"selector": {}, "value": [1]}`)))
	f.Add([]byte(`{"defaults": {"retry": {"timeout": "1h"}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse(text)
		if err != nil {
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			return
		}
		snapshot := NewSnapshot(1, document)
		must.NotNil(t, snapshot.Knobs(Selector{Workspace: "a"}))
	})
}
