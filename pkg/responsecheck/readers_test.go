package responsecheck_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/ctl"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/external/httpclient"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/kvmove"
	"amaranthplank.example/amaranthplank/pkg/load"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/responsecheck"
	"amaranthplank.example/amaranthplank/pkg/standin/targets"
	"amaranthplank.example/amaranthplank/pkg/target"
	"amaranthplank.example/amaranthplank/pkg/targetwatch"
)

// serve answers each request with a text and closes its connection, and returns the address.
func serve(t *testing.T, answer func(q *http.Request) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, answer(q))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// object and list are bodies that readers of one value accept.
const (
	object = `{"phase":"drained","revision":1,"windows":[]}`
	list   = `[]`
)

// malformed are responses whose body is whole in form, and that end or begin in another way than a
// response does.
func malformed(body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	answered := "HTTP/1.1 200 OK\r\n" + request.HeaderOutcome + ": answered\r\n"
	return map[string]string{
		"status":           "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body,
		"high status":      "HTTP/1.1 600 OK\r\n" + length + "\r\n" + body,
		"blank in a name":  answered + "X Trouble: 1\r\n" + length + "\r\n" + body,
		"folded line":      answered + length + " more: 1\r\n\r\n" + body,
		"two lengths":      answered + length + length + "\r\n" + body,
		"before its end":   answered + "Content-Length: 900\r\n\r\n" + body,
		"before its chunk": answered + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body),
		"within its head":  "HTTP/1.1 200 OK\r\n" + strings.TrimSuffix(length, "\n"),
	}
}

// reader reads one response of the server at an address.
type reader struct {
	body string
	read func(ctx context.Context, address string) error
}

// readers are the clients of the program whose servers answer with JSON.
func readers() map[string]reader {
	record := func(address string) external.TargetRecord {
		return external.TargetRecord{Target: "i-1", Address: address, Model: "m"}
	}
	store := func(address string) *httpclient.Store {
		return httpclient.NewStore(httpclient.New("http://" + address))
	}
	command := func(args ...string) func(context.Context, string) error {
		return func(ctx context.Context, address string) error {
			client := &http.Client{Transport: responsecheck.New(&http.Transport{})}
			if code := ctl.Run(ctx, ctl.Env{Out: io.Discard, Err: io.Discard, Client: client}, ctl.Commands(), append(args, "-operator", "http://"+address)); code != ctl.ExitOK {
				return fmt.Errorf("exit code %d", code)
			}
			return nil
		}
	}
	return map[string]reader{
		"load report": {object, func(ctx context.Context, a string) error {
			_, err := target.NewControl(target.NewClient(), "").Report(ctx, record(a))
			return err
		}},
		"cache events": {list, func(ctx context.Context, a string) error {
			_, err := target.NewControl(target.NewClient(), "").Events(ctx, record(a), 0)
			return err
		}},
		"order": {object, func(ctx context.Context, a string) error {
			return target.NewControl(target.NewClient(), "").Send(ctx, record(a), target.Order{})
		}},
		"store read": {object, func(ctx context.Context, a string) error { _, err := store(a).Get(ctx, "k"); return err }},
		"store write": {object, func(ctx context.Context, a string) error {
			_, err := store(a).CompareAndSwap(ctx, external.Swap{Key: "k"})
			return err
		}},
		"store watch": {object, func(ctx context.Context, a string) error { _, err := store(a).Watch(ctx, "k", 1); return err }},
		"usage report": {object, func(ctx context.Context, a string) error {
			return httpclient.NewUsageSink(httpclient.New("http://"+a)).Report(ctx, external.UsageReport{})
		}},
		"status": {object, command("status")},
		"drain":  {object, command("drain")},
		"burn":   {object, command("report", "burn")},
		"load":   {object, loadCall},
	}
}

// loadCall makes one call of the load tool.
func loadCall(ctx context.Context, address string) error {
	caller := load.Caller{Client: &http.Client{Transport: responsecheck.New(&http.Transport{})}, URL: "http://" + address, ServicePath: "/"}
	if result := caller.Do(ctx, load.Call{Service: true}, time.Now()); result.Outcome != request.Answered {
		return fmt.Errorf("outcome %s", result.Outcome)
	}
	return nil
}

// TestReadersTakeNoMalformedResponse guards against a reader that takes a malformed or cut response
// for a whole one: of a target, the platform or a daemon.
func TestReadersTakeNoMalformedResponse(t *testing.T) {
	for name, r := range readers() {
		sound := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: answered\r\nContent-Length: %d\r\n\r\n%s", request.HeaderOutcome, len(r.body), r.body)
		must.NoError(t, r.read(t.Context(), serve(t, func(*http.Request) string { return sound })), must.Sprint(name))
		for fault, text := range malformed(r.body) {
			must.Error(t, r.read(t.Context(), serve(t, func(*http.Request) string { return text })), must.Sprint(name, ": ", fault))
		}
	}
}

// TestOrderWithMalformedResponseIsUnknown guards against an order that counts as not carried out, though
// its engine has answered.
func TestOrderWithMalformedResponseIsUnknown(t *testing.T) {
	for name, text := range malformed(object) {
		address := serve(t, func(*http.Request) string { return text })
		err := target.NewControl(target.NewClient(), "").Send(t.Context(), external.TargetRecord{Target: "i-1", Address: address}, target.Order{})
		must.Eq(t, fault.Unknown, fault.KindOf(err), must.Sprint(name))
	}
}

// TestMalformedResponseEndsAMove guards against a KV cache that is fetched though its engine's response
// to the export was malformed.
func TestMalformedResponseEndsAMove(t *testing.T) {
	for name, text := range malformed(object) {
		from := serve(t, func(*http.Request) string { return text })
		imports := make(chan bool, 1)
		to := serve(t, func(*http.Request) string { imports <- true; return "HTTP/1.1 200 OK\r\n\r\n" })
		mover := kvmove.Mover{Sender: target.NewControl(target.NewClient(), "")}
		err := mover.CopyKVCache(t.Context(), "a-1", &external.TargetRecord{Target: "i-1", Address: from}, &external.TargetRecord{Target: "i-2", Address: to})
		must.Error(t, err, must.Sprint(name))
		must.Eq(t, 0, len(imports), must.Sprint(name))
	}
}

// TestPollTakesNoMalformedResponse guards against a load report that a target in trouble sent.
func TestPollTakesNoMalformedResponse(t *testing.T) {
	for name, text := range malformed(`{"running":5}`) {
		polled := make(chan bool, 100)
		address := serve(t, func(*http.Request) string { polled <- true; return text })
		w := targetwatch.NewShared(targetwatch.Options{
			Orderer: targets.New(external.TargetRecord{Target: "i-1", Address: address, Model: "m"}), ReadInterval: 5 * time.Millisecond,
			Client: &http.Client{Transport: responsecheck.New(&http.Transport{})},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			_ = w.Run(ctx)
			close(done)
		}()
		<-polled
		<-polled
		if snapshot := w.Snapshot(); snapshot != nil && snapshot.Target("i-1") != nil {
			must.True(t, snapshot.Target("i-1").LoadAt.IsZero(), must.Sprint(name))
		}
		cancel()
		<-done
	}
}
