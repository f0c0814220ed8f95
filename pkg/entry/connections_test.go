package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// TestRequestOnReusedConnectionRunsOnce closes a reused connection during an empty
// POST with an idempotency key. The transport of net/http retries such a request
// by itself, so that it could run twice.
func TestRequestOnReusedConnectionRunsOnce(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		must.Eq(t, "answered", send(client, mark.newRequest("first")).outcome)
		r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
		must.Eq(t, "unknown", send(client, mark.newRequest("second")).outcome)
		must.Eq(t, 1, mark.runs(r, "second"))
		must.Eq(t, 2, len(r.Faults["ledger-1"].RequestHeaders()))
		// As a control, a plain net/http transport runs the same request twice.
		plain := &http.Client{Transport: &http.Transport{DialContext: r.Network.Dial}}
		for _, word := range []string{"warm", "third"} {
			r.Faults["ledger-1"].Script()
			if word == "third" {
				r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
			}
			q, _ := http.NewRequest(http.MethodPost, "http://ledger-1/marks", nil)
			q.Header.Set("Idempotency-Key", word)
			_ = send(plain, q)
		}
		must.Eq(t, 2, mark.runs(r, "third"))
	})
}

func TestNonIdempotentRequestAvoidsLongIdleConnection(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		dials := func() int {
			before := r.Network.Dials()
			must.Eq(t, "answered", send(client, write.newRequest("w")).outcome)
			return r.Network.Dials() - before
		}
		must.Eq(t, 2, dials(), must.Sprint("connections to the daemon and to the target"))
		must.Eq(t, 0, dials(), must.Sprint("recently used connections must be reused"))
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, dials(), must.Sprint("a connection that was idle for a long time must not be reused"))
	})
}

func TestStreamResumesAfterSilentConnection(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 1, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		time.AfterFunc(50*time.Millisecond, func() { r.Network.SilenceAllExcept(rig.DaemonAddress) })
		got := send(r.Caller(), onceStream.newRequest("w"))
		must.NoError(t, got.err)
		must.True(t, onceStream.isCompleteAnswer(got, "w"), must.Sprint(got.String()))
		must.Eq(t, 1, onceStream.runs(r, "w"))
	})
}

func TestLostEngineAbortsAnswer(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 2, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		time.AfterFunc(50*time.Millisecond, func() { r.Engines[0].DropStreams(); r.Engines[1].DropStreams() })
		got := send(r.Caller(), chatStream.newRequest("w"))
		must.Error(t, got.err, must.Sprint("an incomplete response ended cleanly"))
		must.Eq(t, "", got.outcome)
		must.SliceEmpty(t, r.Usage.Records())
	})
}

func TestLookupIsHedged(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 2, HedgeAfter: 10 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		r.Faults["ledger-1"].Script(faulttarget.Late)
		began := time.Now()
		got := send(r.Caller(), read.newRequest("w"))
		must.True(t, read.isCompleteAnswer(got, "w"), must.Sprint(got.String()))
		must.Eq(t, 10*time.Millisecond, time.Since(began))
		synctest.Wait()
		must.Eq(t, 1, len(r.Usage.Records()))
		r.Faults["ledger-1"].Script(faulttarget.Late)
		must.Eq(t, "answered", send(r.Caller(), write.newRequest("w")).outcome)
		must.Eq(t, 0, r.Ledgers[1].Runs("w"), must.Sprint("a request that must run once was hedged"))
		r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
		r.Faults["ledger-2"].Script(faulttarget.CloseAfter)
		must.True(t, read.isCompleteAnswer(send(r.Caller(), read.newRequest("v")), "v"))
	})
}

// TestLostFailureDomainUsesNoRetryBudget makes half of the targets unreachable.
// Failed connection attempts must not use up the retry budget: every request must
// be answered by the other half, however many requests there are.
func TestLostFailureDomainUsesNoRetryBudget(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 2, Ledgers: 2}, func(t *testing.T, r *rig.Rig) {
		r.Network.Refuse("ledger-1:80", true)
		r.Network.Refuse("engine-1:80", true)
		client := r.Caller()
		for range 300 {
			must.Eq(t, "answered", send(client, write.newRequest("w")).outcome)
			must.Eq(t, "answered", send(client, onceStream.newRequest("w")).outcome)
		}
	})
}

func TestNoReachableTargetFailsImmediately(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 2}, func(t *testing.T, r *rig.Rig) {
		r.Network.Refuse("ledger-1:80", true)
		r.Network.Refuse("ledger-2:80", true)
		began := time.Now()
		got := send(r.Caller(), write.newRequest("w"))
		must.Eq(t, "not run", got.outcome)
		must.Eq(t, "2", got.header.Get("Retry-After"))
		must.Eq(t, began, time.Now())
	})
}
