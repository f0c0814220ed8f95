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

// kind is a sort of request.
type kind int

const (
	chatStream kind = iota
	chatWhole
	onceStream
	write
	mark
	read
	kinds
)

// once reports whether the request must not run twice.
func (k kind) once() bool { return k == onceStream || k == write || k == mark }

// make returns a request of the kind that is told from others by its word.
func (k kind) make(word string) *http.Request {
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

// runs counts how often the request ran.
func (k kind) runs(r *rig.Rig, word string) int {
	n := 0
	for _, e := range r.Engines {
		n += e.RunsOf(word)
	}
	for _, l := range r.Ledgers {
		n += l.Runs(word)
	}
	return n
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	outcome string
	body    string
	// err is set where the answer was aborted.
	err error
}

// String tells what the caller got.
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
		must.Eq(panicker{}, got.outcome, string(failed.Error.Outcome))
	}
	return got
}

// wholeAnswer reports whether the reply is the whole answer to the kind's own
// request.
func (k kind) wholeAnswer(got reply, word string) bool {
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

// panicker fails from goroutines that have no test.
type panicker struct{}

func (panicker) Helper()                      {}
func (panicker) Fatalf(f string, args ...any) { panic(fmt.Sprintf(f, args...)) }

// inFakeTime runs f over a rig in fake time.
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
