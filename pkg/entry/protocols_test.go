package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// http2Caller returns a client that uses only HTTP/2, and a function that closes
// its idle connections.
func http2Caller(r *rig.Rig) (*http.Client, func()) {
	transport := &http.Transport{DialContext: r.Network.Dial, Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

func TestHTTP2StreamsAndAborts(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 2, Ledgers: 1, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		client, closeIdle := http2Caller(r)
		defer closeIdle()
		got := send(client, chatStream.newRequest("w"))
		must.Eq(t, "answered", got.outcome)
		must.True(t, chatStream.isCompleteAnswer(got, "w"))
		must.True(t, write.isCompleteAnswer(send(client, write.newRequest("w")), "w"))
		time.AfterFunc(50*time.Millisecond, func() { r.Engines[0].DropStreams(); r.Engines[1].DropStreams() })
		must.Error(t, send(client, onceStream.newRequest("v")).err, must.Sprint("an incomplete response ended cleanly"))
		must.Eq(t, "answered", send(client, read.newRequest("w")).outcome)
	})
}

func TestBodiesAndHeadersAreBounded(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		large := write.newRequest(strings.Repeat("w", 65<<10))
		got := send(r.Caller(), large)
		must.Eq(t, http.StatusRequestEntityTooLarge, got.status)
		must.Eq(t, "not run", got.outcome)
		chunked := write.newRequest(strings.Repeat("w", 65<<10))
		chunked.ContentLength = -1
		must.Eq(t, http.StatusRequestEntityTooLarge, send(r.Caller(), chunked).status)
		wide := read.newRequest("w")
		wide.Header.Set("X-Wide", strings.Repeat("w", 64<<10))
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, send(r.Caller(), wide).status)
		must.SliceEmpty(t, r.Faults["ledger-1"].RequestHeaders())
	})
}
