package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// requestKind selects the route and the form of a test request.
type requestKind int

const (
	// chatStream and chatWhole are idempotent completions, streamed or not.
	chatStream requestKind = iota
	chatWhole
	// onceStream is a streamed completion that must not run twice.
	onceStream
	// write and mark are service requests that must not run twice; mark has an
	// empty body and an idempotency key.
	write
	mark
	// read is an idempotent service request.
	read
	// requestKindCount is the number of kinds.
	requestKindCount
)

// mustRunOnce reports whether requests of the kind must not run twice.
func (k requestKind) mustRunOnce() bool { return k == onceStream || k == write || k == mark }

// newRequest returns a request of the kind. The word identifies the request.
func (k requestKind) newRequest(word string) *http.Request {
	path, method, body := "/v1/chat/completions", http.MethodPost, ""
	switch k {
	case chatStream, chatWhole:
		body = fmt.Sprintf(`{"model":"counting","stream":%t,"messages":[{"role":"user","content":"count %s"}]}`, k == chatStream, word)
	case onceStream:
		path, body = "/v1/completions", fmt.Sprintf(`{"model":"counting","stream":true,"prompt":"count %s"}`, word)
	case write:
		path, body = "/services/ledger/adjustments", fmt.Sprintf(`{"item":%q,"amount":1}`, word)
	case mark:
		path = "/services/ledger/marks"
	default:
		path, method = "/services/ledger/balances/"+word, http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+rig.DaemonAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if k == mark {
		r.Header.Set("Idempotency-Key", word)
	}
	r.Header.Set("Authorization", "Bearer "+rig.Key("one"))
	return r
}

// runs returns how often the request with the given word ran.
func (k requestKind) runs(r *rig.Rig, word string) int {
	n := 0
	for _, e := range r.Engines {
		n += e.RunsOf(word)
	}
	for _, l := range r.Ledgers {
		n += l.Runs(word)
	}
	return n
}

// reply is the response that a caller received.
type reply struct {
	status  int
	header  http.Header
	outcome string
	body    string
	// err is set if the request failed or the response was aborted.
	err error
}

// String formats the reply for test failures.
func (r reply) String() string {
	return fmt.Sprintf("%d %q %.300q %v", r.status, r.outcome, r.body, r.err)
}

// send sends a request and reads the whole reply.
func send(client *http.Client, r *http.Request) reply {
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
	got.outcome = response.Header.Get(entry.HeaderOutcome) + response.Trailer.Get(entry.HeaderOutcome)
	var failed entry.ErrorBody
	if response.StatusCode >= 400 && json.Unmarshal(body, &failed) == nil {
		must.Eq(panicT{}, got.outcome, string(failed.Error.Outcome))
	}
	return got
}

// isCompleteAnswer reports whether the reply is the complete response to the request
// of the kind with the given word.
func (k requestKind) isCompleteAnswer(got reply, word string) bool {
	var want bytes.Buffer
	switch k {
	case chatStream, onceStream:
		for n := range 5 {
			fmt.Fprintf(&want, "data: {\"choices\":[{\"delta\":{\"content\":\"%s%d \"}}]}\n\n", word, n)
		}
		return strings.HasPrefix(got.body, want.String()) && strings.HasSuffix(got.body, "data: [DONE]\n\n")
	case chatWhole:
		return strings.Contains(got.body, word+"4 ") && json.Valid([]byte(got.body))
	default:
		return strings.HasPrefix(got.body, fmt.Sprintf(`{"item":%q,`, word)) && json.Valid([]byte(got.body))
	}
}

// panicT fails assertions by a panic, for use in goroutines without a testing.T.
type panicT struct{}

func (panicT) Helper()                      {}
func (panicT) Fatalf(f string, args ...any) { panic(fmt.Sprintf(f, args...)) }

// inFakeTime runs f with a new rig in fake time.
func inFakeTime(t *testing.T, opts rig.Options, f func(*testing.T, *rig.Rig)) {
	synctest.Test(t, func(t *testing.T) {
		r, err := rig.New(opts)
		must.NoError(t, err)
		defer r.Close()
		f(t, r)
	})
}

// targetsOf returns the names of all targets.
func targetsOf(r *rig.Rig) []ident.Target {
	var names []ident.Target
	for name := range r.Faults {
		names = append(names, name)
	}
	return names
}
