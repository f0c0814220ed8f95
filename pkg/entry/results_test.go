package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/standin/faulttarget"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// recordingRouter records the results that are reported to a router.
type recordingRouter struct {
	routing.Router
	results []routing.AttemptResult
}

var _ routing.ResultObserver = (*recordingRouter)(nil)

func (rec *recordingRouter) ObserveResult(_ *request.Request, _ ident.Target, result routing.AttemptResult) {
	rec.results = append(rec.results, result)
}

func TestTargetResultsAreReportedToRouter(t *testing.T) {
	var rec *recordingRouter
	router := func(r *rig.Rig) routing.Router {
		rec = &recordingRouter{Router: routing.NewLeastOutstanding(r.View)}
		return rec
	}
	inFakeTime(t, rig.Options{Ledgers: 1, Timeout: time.Second, NewRouter: router}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		for _, fault := range []faulttarget.Fault{faulttarget.None, faulttarget.CloseAfter, faulttarget.Silent, faulttarget.None} {
			r.Faults["ledger-1"].Script(fault)
			_ = send(client, write.newRequest("w"))
			synctest.Wait()
		}
		must.Eq(t, []routing.AttemptResult{routing.Answered, routing.Failed, routing.Answered}, rec.results, must.Sprint("a missed deadline must not count as a failure of the target"))
	})
}
