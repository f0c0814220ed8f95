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

// testServer is a server on an in-memory network. A request's path is the number of
// response parts, which the server writes at intervals of 10 ms.
type testServer struct {
	network   *pipenet.Network
	server    *Server
	runResult chan error
	mu        sync.Mutex
	hooks     []string
}

// newTestServer returns a running server.
func newTestServer(ctx context.Context) *testServer {
	s := &testServer{network: pipenet.New(), runResult: make(chan error, 1)}
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
			s.mu.Lock()
			defer s.mu.Unlock()
			s.hooks = append(s.hooks, name)
			return nil
		}}}
	}
	s.server = New(Options{
		Server: &http.Server{Handler: handler, Protocols: bothProtocols()}, Listener: s.network.Listen("d:80"), Log: slog.New(slog.DiscardHandler),
		BalancerDelay: 5 * time.Second, OnStop: hook("start"), OnDrained: hook("end"),
	})
	go func() { s.runResult <- s.server.Run(ctx) }()
	return s
}

// bothProtocols returns HTTP/1.1 and unencrypted HTTP/2.
func bothProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// get sends a request on an open connection and returns the number of parts
// received.
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

func TestStopUnderLoadInterruptsNoRequest(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { stopUnderLoad(t, http2) })
	}
}

// stopUnderLoad stops a server while twenty callers send requests and a response of
// one minute is being streamed.
func stopUnderLoad(t *testing.T, http2 bool) {
	s := newTestServer(t.Context())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, Protocols: protocols}}
	var wait sync.WaitGroup
	served := make([]int, 20)
	for i := range served {
		wait.Go(func() {
			// Like a load balancer, stop sending 3 s after readiness fails.
			var until time.Time
			for until.IsZero() || time.Now().Before(until) {
				if s.server.Ready() != nil && until.IsZero() {
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
	long, err := s.network.Dial(t.Context(), "tcp", "d:80")
	must.NoError(t, err)
	wait.Go(func() {
		parts, _, err := get(long, 6000)
		must.NoError(t, err)
		must.Eq(t, 6000, parts)
	})
	time.Sleep(time.Second)
	s.server.Stop()
	wait.Wait()
	must.NoError(t, <-s.runResult)
	must.Eq(t, []string{"start", "end"}, s.hooks)
	must.Eq(t, Status{Phase: Drained}, s.server.Status())
	for i := range served {
		must.Positive(t, served[i])
	}
	client.CloseIdleConnections()
	must.NoError(t, long.Close())
}

// TestRequestOnIdleConnectionDuringStop sends a request on a kept-alive connection
// just after the stop begins. It is served, whereas http.Server.Shutdown alone
// would have closed the connection.
func TestRequestOnIdleConnectionDuringStop(t *testing.T) {
	for _, immediate := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t.Context())
			c, err := s.network.Dial(t.Context(), "tcp", "d:80")
			must.NoError(t, err)
			_, response, err := get(c, 1)
			must.NoError(t, err)
			must.False(t, response.Close)
			if immediate {
				must.NoError(t, s.server.opts.Server.Shutdown(t.Context()))
			} else {
				s.server.Stop()
				must.Eq(t, AwaitingBalancer, s.server.Status().Phase)
			}
			synctest.Wait()
			parts, response, err := get(c, 2)
			must.Eq(t, immediate, err != nil)
			if !immediate {
				must.Eq(t, 2, parts)
				must.True(t, response.Close)
				must.ErrorIs(t, s.server.Ready(), ErrDraining)
			}
			must.NoError(t, <-s.runResult)
		})
	}
}

func TestCanceledContextInterruptsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newTestServer(ctx)
		c, err := s.network.Dial(t.Context(), "tcp", "d:80")
		must.NoError(t, err)
		time.AfterFunc(time.Second, cancel)
		_, _, err = get(c, 1000)
		must.Error(t, err)
		must.NoError(t, <-s.runResult)
		time.Sleep(time.Minute)
	})
}

// TestStopWaitsForNoLaterRequestTime has the last request be recorded at a time that is
// still to come, as after a step of the clock. It guards against a stop that waits for
// that time, so that the process is killed with its listener open.
func TestStopWaitsForNoLaterRequestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t.Context())
		synctest.Wait()
		s.server.lastRequestAt.Store(int64(time.Hour))
		began := time.Now()
		s.server.Stop()
		must.NoError(t, <-s.runResult)
		must.LessEq(t, (1+maxExtraBalancerDelays)*s.server.opts.BalancerDelay, time.Since(began))
	})
}
