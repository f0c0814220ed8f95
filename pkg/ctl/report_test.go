package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/burn"
)

func TestReportBurnPrintsTableAndJSON(t *testing.T) {
	report := burn.Report{Windows: burn.Windows(), Rows: []burn.Row{{
		Workspace: "shops", Route: "chat", Objective: "availability", Share: 0.999,
		Cells: []burn.Cell{{Total: 10, Bad: 1, Rate: 100}, {Total: 20, Rate: 0}, {}, {}, {}},
	}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, "/v1/burn", r.URL.Path)
		must.NoError(t, json.NewEncoder(w).Encode(report))
	}))
	defer server.Close()
	run := func(args ...string) (ExitCode, string) {
		var out, errs bytes.Buffer
		env := Env{Out: &out, Err: &errs, Client: server.Client()}
		return Run(context.Background(), env, Commands(), args), out.String()
	}
	code, text := run("report", "burn", "-operator", server.URL, "-plot")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, text, "100.00")
	must.StrContains(t, text, "####")
	code, text = run("report", "burn", "-operator", server.URL, "-json")
	must.Eq(t, ExitOK, code)
	var got burn.Report
	must.NoError(t, json.Unmarshal([]byte(text), &got))
	must.Eq(t, report, got)
	code, _ = run("report", "weather")
	must.Eq(t, ExitUsage, code)
	code, _ = run("report", "burn", "-operator", "http://127.0.0.1:1")
	must.Eq(t, ExitFailed, code)
}
