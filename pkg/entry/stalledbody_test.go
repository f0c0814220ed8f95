package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
)

// TestRefusalWithoutBodyComes sends heads without their bodies. It guards against a
// refusal that is held back as long as the caller sends no body, and against a connection
// that a caller without a valid key keeps for any time.
func TestRefusalWithoutBodyComes(t *testing.T) {
	for key, want := range map[string]int{rig.Key("one"): http.StatusBadRequest, "none": http.StatusUnauthorized} {
		inFakeTime(t, rig.Options{Ledgers: 1}, func(t *testing.T, r *rig.Rig) {
			conn, err := r.Network.Dial(t.Context(), "tcp", rig.DaemonAddress)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /services/ledger/adjustments HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 9\r\n\r\n", key)
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(2*entry.DefaultBodyTimeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			must.Eq(t, want, response.StatusCode)
		})
	}
}
