package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/admission"
	"amaranthplank.example/amaranthplank/pkg/entry"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/relay"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/routing"
	"amaranthplank.example/amaranthplank/pkg/standin/rig"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// The goal is to relay 7,000 tokens/s and 25 requests/s with a tenth of a core:
// 100 ms of each second, of which tokens get 70 ms and requests 30 ms. An
// allocation costs up to 500 ns including its share of garbage collection, and
// allocations may take a tenth of the time.
const (
	tokensPerSecond   = 7000
	requestsPerSecond = 25
	coreShare         = 0.1
	allocationNanos   = 500
	tokenNanos        = 70e6 / tokensPerSecond
	requestNanos      = 30e6 / requestsPerSecond
	// maxTokenAllocations is 2, maxRequestAllocations 240.
	maxTokenAllocations   = tokenNanos / 10 / allocationNanos
	maxRequestAllocations = requestNanos / 10 / allocationNanos
)

// costFixture is a daemon's request path and its target, both on loopback.
type costFixture struct {
	direct, daemon *httptest.Server
	client         *http.Client
}

// newCostFixture starts the daemon and the target. The target streams max_tokens
// events, one per interval.
func newCostFixture(t testing.TB, interval time.Duration, controller admission.Controller) *costFixture {
	c := &costFixture{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}}
	c.direct = httptest.NewServer(newStreamingTarget(interval))
	config := &rig.Config{}
	config.SetOptions(rig.Options{Timeout: time.Minute, SilenceTimeout: time.Minute})
	must.NoError(t, config.Set("one"))
	view := &rig.View{}
	view.Set(fleet.TargetState{Record: external.TargetRecord{
		Target: "engine", Model: rig.Model, Address: strings.TrimPrefix(c.direct.URL, "http://"),
	}})
	client := target.NewClient()
	handler := entry.New(entry.Options{
		Config: config, Admission: controller, Recorder: &rig.Recorder{}, Log: slog.New(slog.DiscardHandler), MaxBodyBytes: 1 << 20,
		Relay: relay.New(relay.Options{Router: routing.NewLeastOutstanding(view), Client: client, Config: config}),
	})
	c.daemon = httptest.NewUnstartedServer(nil)
	c.daemon.Config = entry.NewServer(handler, entry.ServerOptions{})
	c.daemon.Start()
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		c.daemon.Close()
		client.Close()
		c.direct.Close()
	})
	return c
}

// newStreamingTarget returns a minimal target that implements the protocol.
func newStreamingTarget(interval time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var tokens int
		_, _ = fmt.Sscanf(string(body), `{"model":"counting","stream":true,"max_tokens":%d`, &tokens)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header()[target.HeaderAttempt] = r.Header[target.HeaderAttempt]
		controller := http.NewResponseController(w)
		events := bufio.NewWriter(w)
		for n := 1; n <= tokens; n++ {
			_, _ = fmt.Fprintf(events, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", n)
			_ = events.Flush()
			_ = controller.Flush()
			if interval > 0 && !pause(r.Context(), interval) {
				return
			}
		}
		_, _ = fmt.Fprintf(events, "id: %d\ndata: [DONE]\n\n", tokens+1)
		_ = events.Flush()
	})
}

// pause sleeps for d and reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream requests a stream of tokens and reads it to its end.
func (c *costFixture) stream(ctx context.Context, url string, tokens int) error {
	body := fmt.Sprintf(`{"model":"counting","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+rig.Key("one"))
	response, err := c.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// allocations returns the mean number of heap allocations of the process per
// stream, over n streams.
func (c *costFixture) allocations(t *testing.T, url string, n, tokens int) float64 {
	must.NoError(t, c.stream(t.Context(), url, tokens))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range n {
		must.NoError(t, c.stream(t.Context(), url, tokens))
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(n)
}

// TestDaemonAllocations bounds the allocations that the daemon adds compared with
// the same client connected directly to the target.
func TestDaemonAllocations(t *testing.T) {
	const few, many, streams = 10, 1010, 20
	c := newCostFixture(t, 0, admission.UnlimitedController{})
	added := func(tokens int) float64 {
		return c.allocations(t, c.daemon.URL, streams, tokens) - c.allocations(t, c.direct.URL, streams, tokens)
	}
	perRequest := added(few)
	perToken := (added(many) - perRequest) / (many - few)
	t.Logf("added allocations: %.2f per token, %.0f per request", perToken, perRequest)
	must.Less(t, maxTokenAllocations, perToken)
	must.Less(t, maxRequestAllocations, perRequest)
}

// newCopyingProxy starts a proxy that only copies bytes between connections, the
// minimum work of any process between two connections, and returns its URL.
func newCopyingProxy(t testing.TB, to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", strings.TrimPrefix(to, "http://"))
			if err != nil {
				return
			}
			for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
				go func() {
					// Hiding the concrete types prevents splicing in the kernel.
					_, _ = io.Copy(struct{ io.Writer }{pair[0]}, struct{ io.Reader }{pair[1]})
					_ = pair[0].Close()
				}()
			}
		}
	}()
	return "http://" + listener.Addr().String()
}

// BenchmarkStream reports the elapsed time and the CPU time of the whole process
// per token, with each token sent on its own: directly, through a proxy that only
// copies bytes, and through the daemon.
func BenchmarkStream(b *testing.B) {
	const streams, tokens, interval = 70, 100, 10 * time.Millisecond
	for _, path := range []string{"direct", "copier", "daemon"} {
		b.Run(path, func(b *testing.B) {
			c := newCostFixture(b, interval, admission.UnlimitedController{})
			url := map[string]string{"direct": c.direct.URL, "copier": newCopyingProxy(b, c.direct.URL), "daemon": c.daemon.URL}[path]
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				var wait sync.WaitGroup
				for range streams {
					wait.Go(func() { must.NoError(b, c.stream(b.Context(), url, tokens)) })
				}
				wait.Wait()
			}
			spent := cpuTime() - before
			b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*streams*tokens), "cpu-ns/token")
		})
	}
}

// BenchmarkRequest reports the same times per request, for sequential requests of
// one token each, directly and through the daemon.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"direct", "daemon"} {
		b.Run(path, func(b *testing.B) {
			c := newCostFixture(b, 0, admission.UnlimitedController{})
			url := map[string]string{"direct": c.direct.URL, "daemon": c.daemon.URL}[path]
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				must.NoError(b, c.stream(b.Context(), url, 1))
			}
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/request")
		})
	}
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// blockingAdmission admits no request and fails once ctx ends.
type blockingAdmission struct{}

func (blockingAdmission) Admit(ctx context.Context, _ *request.Request) (admission.Ticket, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// BenchmarkHeldRequests reports the memory in use by the process per open request,
// including its caller and its target, directly and through the daemon.
func BenchmarkHeldRequests(b *testing.B) {
	const held = 500
	for _, path := range []string{"direct", "streaming", "waiting"} {
		b.Run(path, func(b *testing.B) {
			var controller admission.Controller = admission.UnlimitedController{}
			if path == "waiting" {
				controller = blockingAdmission{}
			}
			c := newCostFixture(b, time.Second, controller)
			url := c.daemon.URL
			if path == "direct" {
				url = c.direct.URL
			}
			for b.Loop() {
				before := memoryInUse()
				ctx, cancel := context.WithCancel(b.Context())
				var wait sync.WaitGroup
				for range held {
					wait.Go(func() { _ = c.stream(ctx, url, 100) })
				}
				time.Sleep(1500 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-before)/held, "B/request")
				cancel()
				wait.Wait()
			}
		})
	}
}

// memoryInUse returns the size of the live heap and the stacks.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
