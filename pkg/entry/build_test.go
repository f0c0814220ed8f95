package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// FuzzReadModel sees that no body makes the reader fail otherwise than as
// invalid, and that what it takes is bounded by the body.
func FuzzReadModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":["a",{"b":null}],"max_completion_tokens":-1}`))
	f.Add([]byte(`{"messages":[{"content":[{"type":"image_url"}]},null]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var req Description
		if err := req.readModel(body); err != nil {
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			return
		}
		must.True(t, json.Valid(body))
		must.LessEq(t, len(body)+1, req.PromptTokens)
		must.GreaterEq(t, 0, req.MaxOutputTokens)
	})
}

func TestPrefixHashesAgreeUpToTheFirstDifference(t *testing.T) {
	long := make([]byte, 10_000)
	for i := range long {
		long[i] = 'a'
	}
	read := func(model, end string) []uint64 {
		var req Description
		must.NoError(t, req.readModel([]byte(`{"model":"`+model+`","messages":[{"role":"system","content":"`+string(long)+end+`"}]}`)))
		return req.Prefix
	}
	one, two, other := read("m", "x"), read("m", "y"), read("n", "x")
	must.Positive(t, len(one))
	must.Eq(t, one, two)
	must.NotEq(t, one[0], other[0])
}

func TestCallersDeadlineIsBounded(t *testing.T) {
	knobs := config.BuiltinKnobs().Retry
	for text, want := range map[string]time.Duration{
		"": knobs.Timeout.D(), "250": 250 * time.Millisecond, "2000000000": knobs.MaxTimeout.D(),
	} {
		wait, err := waitOfCaller(text)
		must.NoError(t, err)
		must.Eq(t, want, timeoutOf(wait, &config.Route{}, &knobs))
	}
	for _, text := range []string{"0", "-5", "1s", "9999999999999"} {
		_, err := waitOfCaller(text)
		must.Eq(t, fault.Invalid, fault.KindOf(err))
	}
}

func TestRouteBoundsTheWait(t *testing.T) {
	knobs := config.BuiltinKnobs().Retry
	route := &config.Route{Timeout: config.Duration(800 * time.Millisecond)}
	must.Eq(t, 800*time.Millisecond, timeoutOf(1500*time.Millisecond, route, &knobs))
	must.Eq(t, 300*time.Millisecond, timeoutOf(300*time.Millisecond, route, &knobs))
	must.Eq(t, 800*time.Millisecond, timeoutOf(0, route, &knobs))
}

func TestUnknownModelIsTheCallersError(t *testing.T) {
	snapshot := config.NewSnapshot(1, &config.Document{
		Defaults: config.BuiltinKnobs(), Models: []config.Model{{Name: "counting"}, {Name: "lessons"}},
		Routes: []config.Route{{Name: "chat", Path: "/", Class: ident.ClassInteractive, Open: true}},
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	_, err := build(snapshot, r, "r1", caller{}, &Description{Model: "other", Path: "/"}, nil)
	must.Eq(t, fault.NotFound, fault.KindOf(err))
	must.StrContains(t, err.Error(), "counting, lessons")
	must.Eq(t, time.Duration(0), waitOf(err, fault.KindOf(err)), must.Sprint("no retry cures it"))
	_, err = build(snapshot, r, "r1", caller{}, &Description{Model: "lessons", Path: "/"}, nil)
	must.NoError(t, err)
}
