package consumption

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/dissemination"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/membership"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/request"
)

// pair joins two daemons' links and memberships.
type pair struct {
	self, other ident.Host
	handlers    map[ident.Host]peer.Handler
}

func (p pair) Handle(_ peer.Kind, handler peer.Handler) { p.handlers[p.self] = handler }

func (p pair) Linked() []ident.Host { return []ident.Host{p.other} }

func (p pair) Send(to ident.Host, message peer.Message) error {
	p.handlers[to](p.self, message)
	return nil
}

func (p pair) Self() membership.Record { return membership.Record{Host: p.self, Incarnation: 1} }

func (p pair) Members() []membership.Member {
	return []membership.Member{{Host: p.other, Incarnation: 1, Status: membership.Alive}}
}

func (p pair) Heard([]membership.Beat) {}

// near tells of every running request.
func near(ident.Workspace, int) bool { return true }

func TestUseOfOneDaemonIsSeenAtTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		handlers := make(map[ident.Host]peer.Handler)
		var exchanges []*Exchange
		for _, p := range []pair{{"a", "b", handlers}, {"b", "a", handlers}} {
			m := dissemination.New(dissemination.Options{Links: p, Members: p, Registerer: prometheus.NewRegistry()})
			go func() { _ = m.Run(ctx) }()
			exchanges = append(exchanges, New(m, p, near))
		}
		controller := exchanges[0].Count(admission.Unlimited{})
		req := &request.Request{Workspace: "shops"}
		first, err := controller.Admit(ctx, req)
		must.NoError(t, err)
		_, err = controller.Admit(ctx, req)
		must.NoError(t, err)
		first.Release(request.Figures{PromptTokens: 100, OutputTokens: 20})
		exchanges[0].Consumption("shops")
		time.Sleep(2 * time.Second)
		got := exchanges[1].Consumption("shops")
		must.Eq(t, 2, got.Requests)
		must.Eq(t, 120, got.Tokens)
		must.Eq(t, 1, got.Running)
		must.LessEq(t, 2*time.Second, got.Age)
		must.Eq(t, 1, exchanges[1].Daemons())
		must.Eq(t, 0, exchanges[0].Consumption("shops").Tokens)
		cancel()
		synctest.Wait()
	})
}
