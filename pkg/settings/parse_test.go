package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

func TestParseAcceptsExample(t *testing.T) {
	source, err := os.ReadFile("../../examples/settings.jsonc")
	must.NoError(t, err)
	s, err := Parse(source)
	must.NoError(t, err)
	must.Eq(t, 5*time.Second, s.Shutdown.BalancerDelay.D())
}

func TestParseReportsEveryProblem(t *testing.T) {
	source, err := os.ReadFile("../../examples/settings.jsonc")
	must.NoError(t, err)
	broken := strings.NewReplacer(
		`"entry-1"`, `"entry/1"`,
		`"127.0.0.1:8080"`, `"8080"`,
		`"level": "info"`, `"level": "loud"`,
	).Replace(string(source))
	_, err = Parse([]byte(broken))
	must.Error(t, err)
	must.Eq(t, fault.Invalid, fault.KindOf(err))
	for _, part := range []string{"host: contains", "listen.callers: is not", "log.level: is not known"} {
		must.StrContains(t, err.Error(), part)
	}
	must.Eq(t, 3, strings.Count(err.Error(), "line "))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host": "a", /* x */ "listen": {"callers": 1}}`))
	f.Add([]byte("{\"peers\": [],}"))
	f.Fuzz(func(t *testing.T, source []byte) {
		s, err := Parse(source)
		if err == nil && s == nil {
			t.Fatal("no settings and no error")
		}
	})
}
