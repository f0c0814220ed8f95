package drain

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/standin/pipenet"
)

// bed is a server over a network in memory. Paths name how long they take.
type bed struct {
	network *pipenet.Network
	server  *Server
	ran     chan error
	mu      sync.Mutex
	hooks   []string
}

// newBed returns a running bed.
func newBed(ctx context.Context) *bed {
	b := &bed{network: pipenet.New(), ran: make(chan error, 1)}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		parts, _ := strconv.Atoi(r.URL.Path[1:])
		for range parts {
			time.Sleep(10 * time.Millisecond)
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
		}
	})
	hook := func(name string) []Hook {
		return []Hook{{Name: name, Run: func(context.Context) error {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.hooks = append(b.hooks, name)
			return nil
		}}}
	}
	b.server = New(Options{
		Server: &http.Server{Handler: handler, Protocols: bothProtocols()}, Listener: b.network.Listen("d:80"), Log: slog.New(slog.DiscardHandler),
		BalancerDelay: 5 * time.Second, AtStart: hook("start"), AtEnd: hook("end"),
	})
	go func() { b.ran <- b.server.Run(ctx) }()
	return b
}

// bothProtocols returns HTTP/1.1 and HTTP/2 without TLS.
func bothProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// get sends a request on an open connection.
func get(c net.Conn, parts int) (int, *http.Response, error) {
	request, _ := http.NewRequest(http.MethodGet, "http://d/"+strconv.Itoa(parts), nil)
	if err := request.Write(c); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), request)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return len(body) / 4, response, err
}

func TestStopUnderLoadCutsNothing(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { stopUnderLoad(t, http2) })
	}
}

// stopUnderLoad stops a bed while twenty callers keep it busy and a stream of a
// minute runs.
func stopUnderLoad(t *testing.T, http2 bool) {
	b := newBed(t.Context())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	client := &http.Client{Transport: &http.Transport{DialContext: b.network.Dial, Protocols: protocols}}
	var wait sync.WaitGroup
	served := make([]int, 20)
	for i := range served {
		wait.Go(func() {
			// The balancer looks away 3 s after readiness fails.
			var until time.Time
			for until.IsZero() || time.Now().Before(until) {
				if b.server.Ready() != nil && until.IsZero() {
					until = time.Now().Add(3 * time.Second)
				}
				response, err := client.Get("http://d:80/" + strconv.Itoa(1+i))
				must.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				must.NoError(t, err)
				must.Eq(t, 4*(1+i), len(body))
				served[i]++
			}
		})
	}
	long, err := b.network.Dial(t.Context(), "tcp", "d:80")
	must.NoError(t, err)
	wait.Go(func() {
		parts, _, err := get(long, 6000)
		must.NoError(t, err)
		must.Eq(t, 6000, parts)
	})
	time.Sleep(time.Second)
	b.server.Stop()
	wait.Wait()
	must.NoError(t, <-b.ran)
	must.Eq(t, []string{"start", "end"}, b.hooks)
	must.Eq(t, Status{Phase: Drained}, b.server.Status())
	for i := range served {
		must.Positive(t, served[i])
	}
	client.CloseIdleConnections()
	must.NoError(t, long.Close())
}

// TestRequestOnIdleConnectionInTheInstant sends on a kept connection as the
// stop begins, and sees that Shutdown alone would have cut it.
func TestRequestOnIdleConnectionInTheInstant(t *testing.T) {
	for _, blunt := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t.Context())
			c, err := b.network.Dial(t.Context(), "tcp", "d:80")
			must.NoError(t, err)
			_, response, err := get(c, 1)
			must.NoError(t, err)
			must.False(t, response.Close)
			if blunt {
				must.NoError(t, b.server.opts.Server.Shutdown(t.Context()))
			} else {
				b.server.Stop()
				must.Eq(t, LookingAway, b.server.Status().Phase)
			}
			synctest.Wait()
			parts, response, err := get(c, 2)
			must.Eq(t, blunt, err != nil)
			if !blunt {
				must.Eq(t, 2, parts)
				must.True(t, response.Close)
				must.ErrorIs(t, b.server.Ready(), ErrDraining)
			}
			must.NoError(t, <-b.ran)
		})
	}
}

func TestAnEndedContextCutsWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBed(ctx)
		c, err := b.network.Dial(t.Context(), "tcp", "d:80")
		must.NoError(t, err)
		time.AfterFunc(time.Second, cancel)
		_, _, err = get(c, 1000)
		must.Error(t, err)
		must.NoError(t, <-b.ran)
		time.Sleep(time.Minute)
	})
}
