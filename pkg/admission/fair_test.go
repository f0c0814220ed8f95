package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFairTimesOutAndAdmitsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, knobs := &slotGate{slots: 0}, config.BuiltinKnobs().Admission
		fair := NewFairController(Options{
			Gate: gate, RemoteConsumption: SingleDaemon{}, Now: time.Now,
			Knobs:  func(*request.Request) *config.AdmissionKnobs { return &knobs },
			Weight: func(ident.Workspace) float64 { return 1 },
		})
		req := &request.Request{Workspace: "a", Model: "m", Class: ident.ClassInteractive}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := fair.Admit(ctx, req)
		must.Eq(t, fault.Timeout, fault.KindOf(err))
		must.Eq(t, 0, fair.queue.Waiting())

		go func() {
			time.Sleep(time.Second)
			fair.mu.Lock()
			gate.slots = 1
			fair.mu.Unlock()
		}()
		start := time.Now()
		ticket, err := fair.Admit(t.Context(), req)
		must.NoError(t, err)
		must.LessEq(t, time.Second+2*pollInterval, time.Since(start))
		ticket.Release(request.TokenUsage{PromptTokens: 1})
	})
}
