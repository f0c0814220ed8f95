package entry_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/entry"
)

// TestPanicIsAnsweredAndLogged has a component panic while it handles a request. It guards
// against ending the request with neither an answer nor a refusal, and without a trace.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	var logs bytes.Buffer
	handler := entry.New(entry.Options{
		Log: slog.New(slog.NewTextHandler(&logs, nil)), Ready: func() error { panic("a fault in a component") },
	})
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body")))
	must.GreaterEq(t, http.StatusInternalServerError, w.Code)
	must.StrContains(t, w.Body.String(), "not run")
	must.StrContains(t, logs.String(), "a fault in a component")
}
