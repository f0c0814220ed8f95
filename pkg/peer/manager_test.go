package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// patience bounds how long a test waits before it is called hung.
const patience = 20 * time.Second

// node is a running manager with what it received.
type node struct {
	*Manager
	address string
	got     chan Message
	stop    func()
}

func start(t testing.TB, host ident.Host, incarnation ident.Incarnation, address, secret string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	m, err := New(Options{
		Host: host, Incarnation: incarnation, Listener: listener, Secret: []byte(secret),
		Registerer: prometheus.NewRegistry(), PingEvery: 20 * time.Millisecond, PingTimeout: 300 * time.Millisecond,
	})
	must.NoError(t, err)
	n := &node{Manager: m, address: listener.Addr().String(), got: make(chan Message, 100)}
	m.Handle(KindState, func(_ ident.Host, message Message) { n.got <- message })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	n.stop = func() {
		cancel()
		must.NoError(t, <-done)
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("never came: " + what)
}

func state(text string) Message {
	return Message{Kind: KindState, Version: KnownVersion, Payload: []byte(text)}
}

func TestLinkCarriesMessagesAndSkipsNewerOnes(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := start(t, "a", 1, "127.0.0.1:0", "s"), start(t, "b", 1, "127.0.0.1:0", "s")
	defer a.stop()
	defer b.stop()
	a.SetPeers([]Address{{"b", b.address}})
	b.SetPeers([]Address{{"a", a.address}})
	eventually(t, "link", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
	must.NoError(t, b.Send("a", Message{Kind: KindState, Version: KnownVersion + 1}))
	must.NoError(t, b.Send("a", state("x")))
	must.Eq(t, "x", string((<-a.got).Payload))
	must.Error(t, b.Send("nobody", state("x")))
}

func TestReplacedHostTakesOverTheLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := start(t, "a", 1, "127.0.0.1:0", "s"), start(t, "b", 1, "127.0.0.1:0", "s")
	defer a.stop()
	a.SetPeers([]Address{{"b", b.address}})
	eventually(t, "link", func() bool { return len(b.Linked()) == 1 })
	b.stop()
	again := start(t, "b", 2, b.address, "s")
	defer again.stop()
	eventually(t, "link to the new process", func() bool { return len(again.Linked()) == 1 && len(a.Linked()) == 1 })
	must.NoError(t, again.Send("a", state("new")))
	must.Eq(t, "new", string((<-a.got).Payload))
	must.False(t, a.register(&link{manager: a.Manager, host: "b", incarnation: 1, cancel: func() {}}))
}

func TestWrongSecretGetsNoLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := start(t, "a", 1, "127.0.0.1:0", "s"), start(t, "b", 1, "127.0.0.1:0", "other")
	defer a.stop()
	defer b.stop()
	must.Error(t, a.dial(context.Background(), Address{"b", b.address}, func() {}))
	must.SliceEmpty(t, b.Linked())
}

func TestMalformedOversizedAndSilentEndOnlyTheirLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, c := start(t, "a", 1, "127.0.0.1:0", "s"), start(t, "c", 1, "127.0.0.1:0", "s")
	defer a.stop()
	defer c.stop()
	a.SetPeers([]Address{{"c", c.address}})
	eventually(t, "link", func() bool { return len(c.Linked()) == 1 })
	for name, data := range map[string][]byte{"malformed": {0xff, 0x00}, "oversized": make([]byte, MaxFrameBytes+1), "silent": nil} {
		conn, _, err := websocket.Dial(context.Background(), "ws://"+c.address+path, nil)
		must.NoError(t, err)
		_, err = dialHandshake(context.Background(), conn, &Options{Host: "rogue", Incarnation: 1, Secret: []byte("s")})
		must.NoError(t, err)
		eventually(t, name+" link", func() bool { return len(c.Linked()) == 2 })
		if data != nil {
			// The peer may end the link before the write is done.
			_ = conn.Write(context.Background(), websocket.MessageBinary, data)
		}
		eventually(t, name+" link's end", func() bool { return len(c.Linked()) == 1 })
		_ = conn.CloseNow()
	}
	must.NoError(t, a.Send("c", state("still")))
	must.Eq(t, "still", string((<-c.got).Payload))
}

func TestSlowPeerLosesOldMessages(t *testing.T) {
	out := newOutbox(2)
	must.False(t, out.push(state("1")))
	must.False(t, out.push(state("2")))
	must.True(t, out.push(state("3")))
	must.False(t, out.push(Message{Kind: KindMembership}))
	first, _ := out.pop()
	second, _ := out.pop()
	must.Eq(t, KindMembership, first.Kind)
	must.Eq(t, "2", string(second.Payload))
}
