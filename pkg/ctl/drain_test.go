package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/responsecheck"
)

func TestDrainWaitsForTheEnd(t *testing.T) {
	answers := []string{`{"phase":"looking away","running":2}`, `{"phase":"drained","running":0}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, "/v1/drain", r.URL.Path)
		_, _ = w.Write([]byte(answers[0]))
		answers = answers[1:]
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	env := Env{Out: &out, Err: &errs, Client: server.Client()}
	args := []string{"drain", "-operator", server.URL, "-wait"}
	must.Eq(t, ExitOK, Run(t.Context(), env, Commands(), args))
	must.Eq(t, "looking away, 2 requests running\ndrained, 0 requests running\n", out.String())
	server.Close()
	must.Eq(t, ExitFailed, Run(t.Context(), env, Commands(), args))
}

// TestDrainDoesNotEndWithAMalformedStatus guards against taking a malformed response for the end of a
// daemon, which the command reports as a success.
func TestDrainDoesNotEndWithAMalformedStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = w.Write([]byte(`{"phase":"looking away","running":2}`))
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		_, _ = conn.Write([]byte("HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n"))
		_ = conn.Close()
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	env := Env{Out: &out, Err: &errs, Client: &http.Client{Transport: responsecheck.New(&http.Transport{})}}
	must.Eq(t, ExitUnknown, Run(t.Context(), env, Commands(), []string{"drain", "-operator", server.URL, "-wait"}))
	must.StrContains(t, errs.String(), "malformed")
}
