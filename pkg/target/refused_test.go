package target

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRefused guards against taking a connection that a target accepts and resets, as it
// does with those beyond its limit, for one that no process accepts.
func TestRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		if tcp, ok := conn.(*net.TCPConn); err == nil && ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}()
	client := NewClient()
	defer client.Close()
	ask := func() error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
		must.NoError(t, err)
		_, _, err = client.Do(r, ReuseNone)
		return err
	}
	err = ask()
	must.Error(t, err)
	must.False(t, Refused(err))
	must.NoError(t, listener.Close())
	must.True(t, Refused(ask()))
}
