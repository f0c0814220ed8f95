package enginehttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/orders/enginehttp"
	"amaranthplank.example/amaranthplank/pkg/platform"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// engineAt returns the record of an engine that listens at a server's address.
func engineAt(server *httptest.Server) platform.TargetRecord {
	return platform.TargetRecord{Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestSendIsMadeOnceWhenConnectionsDie(t *testing.T) {
	var taken atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if taken.Add(1) == 1 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	client := enginehttp.New("secret")
	must.NoError(t, client.Send(context.Background(), engineAt(server), target.Order{OrderID: "a"}))
	err := client.Send(context.Background(), engineAt(server), target.Order{OrderID: "b"})
	must.Eq(t, fault.Unknown, fault.KindOf(err))
	must.Eq(t, 2, taken.Load())
}

func TestSendTellsWhatSurelyNeverLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	err = enginehttp.New("").Send(context.Background(), platform.TargetRecord{Address: address}, target.Order{})
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
}

func TestSendReadsTheEnginesRefusal(t *testing.T) {
	kinds := map[int]fault.Kind{http.StatusConflict: fault.Fenced, http.StatusBadRequest: fault.Invalid, http.StatusBadGateway: fault.Unknown}
	for status, kind := range kinds {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		err := enginehttp.New("").Send(context.Background(), engineAt(server), target.Order{})
		must.Eq(t, kind, fault.KindOf(err))
		server.Close()
	}
}
