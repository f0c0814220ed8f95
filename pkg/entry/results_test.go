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

// learner keeps what a router is told.
type learner struct {
	routing.Router
	told []routing.Outcome
}

var _ routing.ResultObserver = (*learner)(nil)

func (l *learner) ObserveResult(_ *request.Request, _ ident.Target, outcome routing.Outcome) {
	l.told = append(l.told, outcome)
}

func TestRouterLearnsWhatTargetsBringAbout(t *testing.T) {
	var l *learner
	router := func(r *rig.Rig) routing.Router {
		l = &learner{Router: routing.NewLeastOutstanding(r.View)}
		return l
	}
	inFakeTime(t, rig.Options{Ledgers: 1, Timeout: time.Second, Router: router}, func(t *testing.T, r *rig.Rig) {
		client := r.Caller()
		for _, fault := range []faulttarget.Fault{faulttarget.None, faulttarget.CloseAfter, faulttarget.Silent, faulttarget.None} {
			r.Faults["ledger-1"].Script(fault)
			_ = send(client, write.make("w"))
			synctest.Wait()
		}
		must.Eq(t, []routing.Outcome{routing.Answered, routing.Failed, routing.Answered}, l.told, must.Sprint("a passed deadline is the caller's"))
	})
}
