package entry_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

func TestKeyIsNotLeaked(t *testing.T) {
	var logged bytes.Buffer
	log := slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	key := rig.Key("one")
	inFakeTime(t, rig.Options{Engines: 1, Ledgers: 1, Log: log}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		var replies bytes.Buffer
		for _, modify := range []func(*http.Request){
			func(*http.Request) {},
			func(q *http.Request) { q.AddCookie(&http.Cookie{Name: "key", Value: key}) },
			func(q *http.Request) { q.URL.RawQuery = "key=" + key },
			func(q *http.Request) { q.URL.RawQuery = "key=%73" + key[1:] },
			func(q *http.Request) { q.URL.Path += "/" + key },
			func(q *http.Request) { q.Header.Set("X-Api-Key", key) },
			func(q *http.Request) { q.Header.Set("Proxy-Authorization", key) },
			func(q *http.Request) { q.Header.Set("Idempotency-Key", key) },
			func(q *http.Request) { q.Header.Set("Accept", key) },
			func(q *http.Request) { q.Header.Set("User-Agent", key) },
			func(q *http.Request) { q.Header.Set("X-Forwarded-For", key) },
			func(q *http.Request) { q.URL.User = nil; q.Host = key },
			func(q *http.Request) { q.Header.Add("Authorization", "Bearer "+key) },
			func(q *http.Request) { q.Header.Del("Authorization"); q.URL.RawQuery = "key=" + key },
			func(q *http.Request) { q.URL.Path = "/services/ledger/open"; q.URL.RawQuery = key },
			func(q *http.Request) {
				q.Body, q.ContentLength = io.NopCloser(strings.NewReader(`{"item":"`+key+`"}`)), int64(len(key)+11)
			},
		} {
			for k := range requestKindCount {
				q := k.newRequest("w")
				modify(q)
				got := send(client, q)
				replies.WriteString(got.body)
				must.NoError(t, got.header.Write(&replies))
			}
		}
		metrics, _ := http.NewRequest(http.MethodGet, "/", nil)
		rec := &responseBuffer{header: http.Header{}}
		promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{}).ServeHTTP(rec, metrics)
		must.StrContains(t, rec.String(), "amaranthplank_requests_total")
		for _, name := range targetsOf(r) {
			for _, header := range r.Faults[name].RequestHeaders() {
				must.Eq(t, "system", header.Get("Amaranth-Credential"))
				must.Eq(t, "", header.Get("X-Forwarded-For"))
				must.NoError(t, header.Write(&replies))
			}
			replies.WriteString(r.Faults[name].Received())
		}
		for _, text := range []string{replies.String(), rec.String(), logged.String()} {
			must.StrNotContains(t, text, key)
			must.StrNotContains(t, text, key[1:])
		}
	})
}

// responseBuffer records a response.
type responseBuffer struct {
	bytes.Buffer
	header http.Header
}

func (b *responseBuffer) Header() http.Header { return b.header }
func (b *responseBuffer) WriteHeader(int)     {}

// gatedAdmission admits requests once open is closed.
type gatedAdmission struct{ open chan struct{} }

func (g gatedAdmission) Admit(ctx context.Context, req *request.Request) (admission.Ticket, error) {
	<-g.open
	return admission.UnlimitedController{}.Admit(ctx, req)
}

func TestKeyIsRecheckedAfterQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gatedAdmission{open: make(chan struct{})}
		r, err := rig.New(rig.Options{Engines: 1, Ledgers: 1, Admission: g})
		must.NoError(t, err)
		defer r.Close()
		replies := make(chan reply)
		go func() { replies <- send(r.Caller(), write.newRequest("w")) }()
		synctest.Wait()
		must.NoError(t, r.Config.Set("two"))
		close(g.open)
		got := <-replies
		must.Eq(t, http.StatusUnauthorized, got.status)
		must.Eq(t, "not run", got.outcome)
		must.Eq(t, 0, write.runs(r, "w"))
		must.SliceEmpty(t, r.Usage.Records())
		// A new request on the same connection is refused too.
		must.Eq(t, http.StatusUnauthorized, send(r.Caller(), read.newRequest("w")).status)
	})
}

func TestTargetDrainsWhileRequestIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gatedAdmission{open: make(chan struct{})}
		r, err := rig.New(rig.Options{Ledgers: 2, Admission: g})
		must.NoError(t, err)
		defer r.Close()
		replies := make(chan reply)
		go func() { replies <- send(r.Caller(), write.newRequest("w")) }()
		synctest.Wait()
		r.View.Drain("ledger-1")
		close(g.open)
		must.Eq(t, "answered", (<-replies).outcome)
		must.Eq(t, 1, r.Ledgers[1].Runs("w"))
		r.View.Drain("ledger-2")
		began := time.Now()
		got := send(r.Caller(), write.newRequest("w2"))
		must.Eq(t, "not run", got.outcome)
		must.Eq(t, began, time.Now(), must.Sprint("a refusal was delayed"))
	})
}

func TestDisconnectCancelsAndChargesDeliveredPart(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 1, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		must.Error(t, send(r.Caller(), chatStream.newRequest("w").WithContext(ctx)).err)
		time.Sleep(time.Second)
		must.Eq(t, 1, r.Engines[0].Cancels())
		must.Eq(t, 1, len(r.Usage.Records()))
		must.Eq(t, 2, r.Usage.Records()[0].Tokens.OutputTokens)
	})
}

func TestSlowSendersAndStalledReadersAreDisconnected(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 1, Ledgers: 1, Timeout: time.Hour}, func(t *testing.T, r *rig.Rig) {
		for _, text := range []string{
			"POST /services/ledger/adjustments HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " + rig.Key("one") + "\r\nContent-Length: 50\r\n\r\n{",
			"POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\n",
		} {
			began := time.Now()
			c, err := r.Network.Dial(context.Background(), "tcp", rig.DaemonAddress)
			must.NoError(t, err)
			_, err = c.Write([]byte(text))
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, c)
			must.NoError(t, err)
			must.Less(t, time.Minute, time.Since(began))
		}
		c := openStalledStream(t, r)
		time.Sleep(5 * time.Minute)
		must.Eq(t, 1, r.Engines[0].Cancels())
		must.NoError(t, c.Close())
	})
}

// openStalledStream requests a long stream and never reads the response.
func openStalledStream(t *testing.T, r *rig.Rig) net.Conn {
	c, err := r.Network.Dial(context.Background(), "tcp", rig.DaemonAddress)
	must.NoError(t, err)
	body := `{"model":"counting","stream":true,"max_tokens":1000,"messages":[{"content":"x"}]}`
	q, err := http.NewRequest(http.MethodPost, "http://d/v1/chat/completions", strings.NewReader(body))
	must.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+rig.Key("one"))
	must.NoError(t, q.Write(c))
	return c
}

func TestAmbiguousPathsAreRejected(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		for _, path := range []string{
			"/services/ledger/balances/../adjustments", "/services/ledger/open/%2e%2e/adjustments",
			"/services/ledger/balances%2f..%2fadjustments", "/services//ledger/balances", "/services/ledger/balances/..\\x",
		} {
			q := read.newRequest("w")
			q.URL.Opaque = "//" + rig.DaemonAddress + path
			must.Eq(t, http.StatusBadRequest, send(r.Caller(), q).status, must.Sprint(path))
		}
		must.SliceEmpty(t, r.Faults["ledger-1"].RequestHeaders())
	})
}
