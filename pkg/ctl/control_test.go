package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/jsonc"
	"amaranthplank.example/amaranthplank/pkg/operator"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// fixture serves the operator API of one daemon with an empty store.
type fixture struct {
	t   *testing.T
	url string
	dir string
}

func newFixture(t *testing.T) *fixture {
	manager := config.NewManager(config.Options{Host: "h", Store: memstore.New(clock.Boot{})})
	server := operator.New(prometheus.NewRegistry(), manager.Ready)
	server.ServeControl(operator.ControlOptions{Host: "h", Manager: manager, Applier: &config.Applier{
		Manager: manager, Acceptance: config.NewAcceptance(manager), PollInterval: time.Millisecond, Timeout: 10 * time.Second,
	}})
	httpServer := httptest.NewServer(server)
	t.Cleanup(httpServer.Close)
	return &fixture{t: t, url: httpServer.URL, dir: t.TempDir()}
}

// ctl runs amaranthctl and returns its exit code, output and diagnostics.
func (f *fixture) ctl(args ...string) (ExitCode, string, string) {
	var out, err bytes.Buffer
	code := Run(f.t.Context(), Env{Out: &out, Err: &err, Client: http.DefaultClient}, Commands(), args)
	return code, out.String(), err.String()
}

func (f *fixture) file(text string) string {
	name := filepath.Join(f.dir, "config.jsonc")
	must.NoError(f.t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestApplyDiffAndExplain(t *testing.T) {
	f := newFixture(t)
	operatorFlag := "-operator=" + f.url
	name := f.file("{\n\"models\": [{\"name\": \"m\", \"version\": \"1\"}]\n}\n")
	code, _, _ := f.ctl("apply", operatorFlag, name)
	must.Eq(t, ExitUsage, code)
	code, out, _ := f.ctl("apply", operatorFlag, "-base=0", name)
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "revision 1 is accepted")
	code, _, _ = f.ctl("diff", operatorFlag, name)
	must.Eq(t, ExitOK, code)

	f.file("{\n\"defaults\": {\"retry\": {\"maxAttempts\": 2}},\n\"models\": [{\"name\": \"m\", \"version\": \"1\"}]\n}\n")
	code, out, _ = f.ctl("diff", operatorFlag, name)
	must.Eq(t, ExitDiffers, code)
	must.Eq(t, "--- revision 1\n+++ "+name+"\n+\"defaults\": {\"retry\": {\"maxAttempts\": 2}},\n", out)
	code, _, err := f.ctl("apply", operatorFlag, "-base=7", name)
	must.Eq(t, ExitConflict, code)
	must.StrContains(t, err, "holds revision 1")
	code, out, _ = f.ctl("apply", operatorFlag, "-base=1", "-json", name)
	must.Eq(t, ExitOK, code)
	var applied config.ApplyResult
	must.NoError(t, json.Unmarshal([]byte(out), &applied))
	must.Eq(t, 2, applied.Revision)

	code, out, _ = f.ctl("status", operatorFlag, "-explain=retry.maxAttempts")
	must.Eq(t, ExitOK, code)
	must.Eq(t, "retry.maxAttempts = 2 (attempts) from defaults\n", out)
	code, out, _ = f.ctl("status", operatorFlag, "-json")
	must.Eq(t, ExitOK, code)
	var status operator.Status
	must.NoError(t, json.Unmarshal([]byte(out), &status))
	must.Eq(t, 2, status.Revisions.Config)
}

func TestCheckListsEveryProblem(t *testing.T) {
	f := newFixture(t)
	code, out, _ := f.ctl("check", "-json", f.file("{\n\"x\": 1,\n\"y\": 2}"))
	must.Eq(t, ExitFailed, code)
	var problems []jsonc.Problem
	must.NoError(t, json.Unmarshal([]byte(out), &problems))
	must.SliceLen(t, 2, problems)
	must.Eq(t, 2, problems[0].Line)
	code, _, err := f.ctl("apply", "-operator="+f.url, "-base=0", f.file("{\"x\": 1}"))
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, err, "line 1: x: there is no such field")
}

func TestUnreachableDaemonExitsUnknown(t *testing.T) {
	f := newFixture(t)
	code, _, _ := f.ctl("apply", "-operator=http://127.0.0.1:1", "-base=0", f.file("{}"))
	must.Eq(t, ExitUnknown, code)
}
