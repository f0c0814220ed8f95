package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// memoryLinks connects managers within one process.
type memoryLinks struct {
	hub  *hub
	host ident.Host
}

type hub struct {
	mu       sync.Mutex
	handlers map[ident.Host]peer.Handler
}

func (l memoryLinks) Handle(_ peer.Kind, handler peer.Handler) { l.hub.handlers[l.host] = handler }

func (l memoryLinks) SetPeers([]peer.Address) {}

func (l memoryLinks) Linked() []ident.Host {
	var hosts []ident.Host
	for host := range l.hub.handlers {
		if host != l.host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (l memoryLinks) Send(to ident.Host, message peer.Message) error {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	l.hub.handlers[to](l.host, message)
	return nil
}

func TestManagersFindEachOtherAndLeave(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		h := &hub{handlers: make(map[ident.Host]peer.Handler)}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var managers []*Manager
		for i := range 3 {
			host := ident.Host(fmt.Sprintf("h%d", i))
			managers = append(managers, New(Options{
				Self: Record{Host: host, Incarnation: 1, Address: "x"}, Links: memoryLinks{h, host},
				Seeds:      []external.HostRecord{{Host: "h0", PeerAddress: "x"}},
				Loaded:     func() (ident.Revision, ident.Revision) { return 5, 2 },
				Registerer: prometheus.NewRegistry(),
			}))
		}
		for _, m := range managers {
			group.Go(func() { must.NoError(t, m.Run(ctx)) })
		}
		time.Sleep(5 * time.Second)
		must.Len(t, 2, managers[0].Members())
		must.Eq(t, 5, managers[0].Members()[0].Revision)
		managers[2].Leave(ctx)
		time.Sleep(time.Second)
		must.Eq(t, Left, managers[0].Members()[1].Status)
		cancel()
		group.Wait()
	})
}
