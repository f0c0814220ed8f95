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

// TestReusedConnectionRunsOnce drops the connection under an empty POST with an
// idempotency key, which net/http would send again by itself.
func TestReusedConnectionRunsOnce(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		must.Eq(t, "answered", send(client, mark.make("first")).outcome)
		r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
		must.Eq(t, "unknown", send(client, mark.make("second")).outcome)
		must.Eq(t, 1, mark.runs(r, "second"))
		must.Eq(t, 2, len(r.Faults["ledger-1"].Seen()))
		// The control: a transport of net/http with the same call runs it twice.
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

func TestOnceIsNotSentOnALongIdleConnection(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		dials := func() int {
			before := r.Network.Dials()
			must.Eq(t, "answered", send(client, write.make("w")).outcome)
			return r.Network.Dials() - before
		}
		must.Eq(t, 2, dials(), must.Sprint("daemon and target"))
		must.Eq(t, 0, dials(), must.Sprint("in use a moment ago"))
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, dials(), must.Sprint("idle for long"))
	})
}

func TestSilentConnectionIsResumedElsewhere(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 1, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		time.AfterFunc(50*time.Millisecond, func() { r.Network.SilenceTargets(rig.DaemonAddress) })
		got := send(r.Caller(), onceStream.make("w"))
		must.NoError(t, got.err)
		must.True(t, onceStream.wholeAnswer(got, "w"), must.Sprint(got.String()))
		must.Eq(t, 1, onceStream.runs(r, "w"))
	})
}

func TestLostEngineAbortsTheAnswer(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 2, TokenInterval: 20 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		time.AfterFunc(50*time.Millisecond, func() { r.Engines[0].Forget(); r.Engines[1].Forget() })
		got := send(r.Caller(), chatStream.make("w"))
		must.Error(t, got.err, must.Sprint("an incomplete answer ended cleanly"))
		must.Eq(t, "", got.outcome)
		must.SliceEmpty(t, r.Usage.Records())
	})
}

func TestLookupIsHedged(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 2, Hedge: 10 * time.Millisecond}, func(t *testing.T, r *rig.Rig) {
		r.Faults["ledger-1"].Script(faulttarget.Late)
		began := time.Now()
		got := send(r.Caller(), read.make("w"))
		must.True(t, read.wholeAnswer(got, "w"), must.Sprint(got.String()))
		must.Eq(t, 10*time.Millisecond, time.Since(began))
		synctest.Wait()
		must.Eq(t, 1, len(r.Usage.Records()))
		r.Faults["ledger-1"].Script(faulttarget.Late)
		must.Eq(t, "answered", send(r.Caller(), write.make("w")).outcome)
		must.Eq(t, 0, r.Ledgers[1].Runs("w"), must.Sprint("a request that must run once was hedged"))
		r.Faults["ledger-1"].Script(faulttarget.CloseAfter)
		r.Faults["ledger-2"].Script(faulttarget.CloseAfter)
		must.True(t, read.wholeAnswer(send(r.Caller(), read.make("v")), "v"))
	})
}

// TestLostFailureDomainUsesNoBudget loses half of the targets: every request is
// answered by the other half, however many there are.
func TestLostFailureDomainUsesNoBudget(t *testing.T) {
	inFakeTime(t, rig.Options{Engines: 2, Ledgers: 2}, func(t *testing.T, r *rig.Rig) {
		r.Network.Refuse("ledger-1:80", true)
		r.Network.Refuse("engine-1:80", true)
		client := r.Caller()
		for range 300 {
			must.Eq(t, "answered", send(client, write.make("w")).outcome)
			must.Eq(t, "answered", send(client, onceStream.make("w")).outcome)
		}
	})
}

func TestNothingReachableIsNotRunAtOnce(t *testing.T) {
	inFakeTime(t, rig.Options{Ledgers: 2}, func(t *testing.T, r *rig.Rig) {
		r.Network.Refuse("ledger-1:80", true)
		r.Network.Refuse("ledger-2:80", true)
		began := time.Now()
		got := send(r.Caller(), write.make("w"))
		must.Eq(t, "not run", got.outcome)
		must.Eq(t, "2", got.header.Get("Retry-After"))
		must.Eq(t, began, time.Now())
	})
}
