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

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 20 * time.Second

// unhandledText is the payload on which the handler of a runningManager panics.
const unhandledText = "unhandled"

// runningManager is a running manager with the KindState messages that it
// received.
type runningManager struct {
	*Manager
	address  string
	received chan Message
	stop     func()
}

func startManager(t testing.TB, host ident.Host, incarnation ident.Incarnation, address, secret string) *runningManager {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	m, err := New(Options{
		Host: host, Incarnation: incarnation, Listener: listener, Secret: []byte(secret),
		Registerer: prometheus.NewRegistry(), PingInterval: 20 * time.Millisecond, PingTimeout: 300 * time.Millisecond,
	})
	must.NoError(t, err)
	running := &runningManager{Manager: m, address: listener.Addr().String(), received: make(chan Message, 100)}
	m.Handle(KindState, func(_ ident.Host, message Message) {
		if string(message.Payload) == unhandledText {
			panic("unexpected payload")
		}
		running.received <- message
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	running.stop = func() {
		cancel()
		must.NoError(t, <-done)
	}
	return running
}

// startLinkedPair starts two managers that are linked to each other, of which the first
// dials. stop stops them.
func startLinkedPair(t testing.TB) (a, c *runningManager, stop func()) {
	a, c = startManager(t, "a", 1, "127.0.0.1:0", "s"), startManager(t, "c", 1, "127.0.0.1:0", "s")
	a.SetPeers([]Address{{"c", c.address}})
	eventually(t, "link", func() bool { return len(c.Linked()) == 1 })
	return a, c, func() {
		c.stop()
		a.stop()
	}
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + what)
}

func stateMessage(text string) Message {
	return Message{Kind: KindState, Version: KnownVersion, Payload: []byte(text)}
}

func TestLinkDeliversMessagesAndSkipsNewerVersions(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startManager(t, "a", 1, "127.0.0.1:0", "s"), startManager(t, "b", 1, "127.0.0.1:0", "s")
	defer a.stop()
	defer b.stop()
	a.SetPeers([]Address{{"b", b.address}})
	b.SetPeers([]Address{{"a", a.address}})
	eventually(t, "link", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
	must.NoError(t, b.Send("a", Message{Kind: KindState, Version: KnownVersion + 1}))
	must.NoError(t, b.Send("a", stateMessage("x")))
	must.Eq(t, "x", string((<-a.received).Payload))
	must.Error(t, b.Send("nobody", stateMessage("x")))
}

func TestLinkOfRestartedProcessReplacesOldLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startManager(t, "a", 1, "127.0.0.1:0", "s"), startManager(t, "b", 1, "127.0.0.1:0", "s")
	defer a.stop()
	a.SetPeers([]Address{{"b", b.address}})
	eventually(t, "link", func() bool { return len(b.Linked()) == 1 })
	b.stop()
	restarted := startManager(t, "b", 2, b.address, "s")
	defer restarted.stop()
	eventually(t, "link to the new process", func() bool { return len(restarted.Linked()) == 1 && len(a.Linked()) == 1 })
	must.NoError(t, restarted.Send("a", stateMessage("new")))
	must.Eq(t, "new", string((<-a.received).Payload))
	must.False(t, a.register(&link{manager: a.Manager, host: "b", incarnation: 1, cancel: func() {}}))
}

func TestDialWithWrongSecretFails(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := startManager(t, "a", 1, "127.0.0.1:0", "s"), startManager(t, "b", 1, "127.0.0.1:0", "other")
	defer a.stop()
	defer b.stop()
	must.Error(t, a.dial(context.Background(), Address{"b", b.address}, func() {}))
	must.SliceEmpty(t, b.Linked())
}

func TestMalformedOversizedAndSilentPeersLoseOnlyTheirLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, c, stop := startLinkedPair(t)
	defer stop()
	for name, data := range map[string][]byte{"malformed": {0xff, 0x00}, "oversized": make([]byte, MaxFrameBytes+1), "silent": nil} {
		conn, _, err := websocket.Dial(context.Background(), "ws://"+c.address+linkPath, nil)
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
	must.NoError(t, a.Send("c", stateMessage("still")))
	must.Eq(t, "still", string((<-c.received).Payload))
}

// TestHandlerFailureEndsNeitherProcessNorLink sends a message on which the handler
// panics, and then another one over the same link.
func TestHandlerFailureEndsNeitherProcessNorLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, c, stop := startLinkedPair(t)
	defer stop()
	must.NoError(t, a.Send("c", stateMessage(unhandledText)))
	must.NoError(t, a.Send("c", stateMessage("next")))
	must.Eq(t, "next", string((<-c.received).Payload))
	must.Eq(t, 1, len(c.Linked()))
}

func TestOutboxDropsOldestMessageWhenFull(t *testing.T) {
	out := newOutbox(2)
	must.False(t, out.push(stateMessage("1")))
	must.False(t, out.push(stateMessage("2")))
	must.True(t, out.push(stateMessage("3")))
	must.False(t, out.push(Message{Kind: KindMembership}))
	first, _ := out.pop()
	second, _ := out.pop()
	must.Eq(t, KindMembership, first.Kind)
	must.Eq(t, "2", string(second.Payload))
}
