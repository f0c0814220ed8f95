package poison

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/backlog"
	"amaranthplank.example/amaranthplank/pkg/clock"
	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/peer"
	"amaranthplank.example/amaranthplank/pkg/request"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
)

// errRefused is what a dial to a target that has ended returns.
var errRefused = errors.New("connection refused")

// network delivers messages between daemons in memory.
type network struct {
	mu      sync.Mutex
	daemons map[ident.Host]*testDaemon
	// cut are hosts without links.
	cut map[ident.Host]bool
}

// testDaemon is a daemon of a network, and its links.
type testDaemon struct {
	network  *network
	host     ident.Host
	detector *Detector
	exchange *Exchange
	copy     *StoreCopy
	handler  peer.Handler
	// received and bytes count the messages that were received, and the bytes of those
	// and of the ones sent.
	received, bytes int
}

func (d *testDaemon) Handle(_ peer.Kind, handler peer.Handler) { d.handler = handler }

func (d *testDaemon) Linked() (hosts []ident.Host) {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	for host := range d.network.daemons {
		if host != d.host && !d.network.cut[host] && !d.network.cut[d.host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (d *testDaemon) Send(to ident.Host, message peer.Message) error {
	other := d.network.count(d, to, len(message.Payload))
	if other == nil {
		return errRefused
	}
	other.handler(d.host, message)
	return nil
}

// count counts a message and returns its receiver, or nil if there is no link.
func (n *network) count(from *testDaemon, to ident.Host, size int) *testDaemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.daemons[to]
	if other == nil || n.cut[to] || n.cut[from.host] {
		return nil
	}
	other.received++
	other.bytes += size
	from.bytes += size
	return other
}

// usage returns how many messages a daemon received, and the bytes of those and of the
// ones that it sent.
func (d *testDaemon) usage() (received, bytes int) {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	return d.received, d.bytes
}

// setCut cuts or restores the links of a host.
func (n *network) setCut(host ident.Host, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
}

// add adds a daemon at whose targets no connection can be made.
func (n *network) add(host ident.Host, store external.Store) *testDaemon {
	d := &testDaemon{network: n, host: host}
	log := slog.New(slog.DiscardHandler)
	d.detector = New(Options{
		Now: time.Now, Incarnation: func(ident.Target) (ident.Incarnation, bool) { return 1_800_000_000_000, true },
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errRefused },
		Send: func(e *Evidence) { d.exchange.Send(e) }, Keep: func(e *Evidence, kept time.Duration) { d.copy.Keep(e, kept) }, Log: log,
	})
	d.copy = NewStoreCopy(host, store, d.detector.Receive, log)
	d.exchange = NewExchange(d.detector.Receive, d.copy.Add, log)
	d.exchange.Attach(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemons[host] = d
	return d
}

// newNetwork returns a network of linked daemons in four failure domains.
func newNetwork(count int, store external.Store) *network {
	n := &network{daemons: make(map[ident.Host]*testDaemon), cut: make(map[ident.Host]bool)}
	all := make([]backlog.Daemon, count)
	for i := range all {
		all[i] = backlog.Daemon{Host: ident.Host(fmt.Sprint("h-", i)), FailureDomain: ident.FailureDomain(fmt.Sprint("z-", i%4))}
		n.add(all[i].Host, store)
	}
	for i, self := range all {
		others := append(append([]backlog.Daemon(nil), all[:i]...), all[i+1:]...)
		n.daemons[self.Host].exchange.SetTopology(backlog.NewTopology(self, others))
	}
	return n
}

// hashOf returns a number as long as the hash of a part.
func hashOf(n uint64) uint64 { return n*0x9e3779b97f4a7c15 + 1<<63 }

// refusedAfter waits until a detector refuses a part, at most ten seconds, and returns
// how long that took.
func refusedAfter(d *Detector, part uint64) time.Duration {
	began := time.Now()
	for refusal(d, prompt(part, 300)) == nil && time.Since(began) < 10*time.Second {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// prompt returns a request whose prompt has parts; the last is its own. Requests with other
// parts have other fingerprints, as their bodies differ.
func prompt(parts ...uint64) *request.Request {
	return &request.Request{PartIDs: parts, Path: fmt.Sprint(parts)}
}

// refusal returns the error with which a detector refuses a request, or nil.
func refusal(d *Detector, req *request.Request) error {
	_, err := d.Check(req)
	return err
}

// TestEvidenceReachesEveryDaemonOnce guards against crashes that a large fleet notices
// in parts. For ten seconds ten parts a second crash four targets each, noticed by a
// daemon each. All 330 must refuse the parts, after one message from each crash and
// within the bytes that control may use.
func TestEvidenceReachesEveryDaemonOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, parts, daemons = 10, 10, 330
		n := newNetwork(daemons, nil)
		for i := range uint64(seconds * parts * minCrashes) {
			d := n.daemons[ident.Host(fmt.Sprint("h-", i*7%daemons))].detector
			d.Lost(prompt(hashOf(1000+i), hashOf(i/minCrashes), hashOf(2000+i)), ident.Target(fmt.Sprint("d-", i)), "")
			time.Sleep(time.Second / (parts * minCrashes))
		}
		time.Sleep(time.Second)
		most, sum := 0, 0
		for host, d := range n.daemons {
			for part := range uint64(seconds * parts) {
				must.Error(t, refusal(d.detector, prompt(common, hashOf(part), 300)), must.Sprint(host))
			}
			must.NoError(t, refusal(d.detector, prompt(hashOf(1000), 301)), must.Sprint(host))
			received, bytes := d.usage()
			must.LessEq(t, seconds*parts*minCrashes, received)
			most, sum = max(most, bytes), sum+bytes
		}
		t.Logf("%d bytes/s at the daemon with the most, %d in the mean", most/seconds, sum/len(n.daemons)/seconds)
		must.LessEq(t, 8192, most/seconds)
	})
}

// TestRestartedDaemonLearnsSuspects links a new daemon to one that knows a suspect.
func TestRestartedDaemonLearnsSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := newNetwork(2, nil)
		old := n.daemons["h-0"]
		go func() { _ = old.exchange.Run(ctx, old.detector.SuspectEvidence) }()
		for i := range uint64(minCrashes) {
			old.detector.Lost(prompt(10+i, bad, 100+i), ident.Target(fmt.Sprint("d-", i)), "")
		}
		time.Sleep(time.Second)
		n.setCut("h-1", true)
		time.Sleep(time.Second)
		fresh := n.add("h-1", nil)
		must.NoError(t, refusal(fresh.detector, prompt(bad, 300)))
		n.setCut("h-1", false)
		time.Sleep(time.Second)
		must.Error(t, refusal(fresh.detector, prompt(bad, 300)))
	})
}

// TestDaemonWithoutLinksLearnsFromTheStore cuts a daemon's links. It must decide by its
// own evidence and by what others write to the store.
func TestDaemonWithoutLinksLearnsFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := memstore.New(clock.NewRuntime())
		_, err := store.CompareAndSwap(ctx, external.Swap{Key: "other"})
		must.NoError(t, err)
		n := newNetwork(3, store)
		for _, d := range n.daemons {
			log := slog.New(slog.DiscardHandler)
			m := mirror.New(mirror.Options{Store: store, Pause: mirror.PauseFor(3 * time.Second), CallTimeout: time.Second, Log: log}, d.copy)
			go func() { _ = m.Run(ctx) }()
			go func() { _ = d.copy.Run(ctx) }()
		}
		time.Sleep(2 * time.Second)
		n.setCut("h-2", true)
		alone := n.daemons["h-2"]
		for i := range uint64(minCrashes) {
			alone.detector.Lost(prompt(10+i, common, 100+i), ident.Target(fmt.Sprint("c-", i)), "")
			n.daemons[ident.Host(fmt.Sprint("h-", i%2))].detector.Lost(prompt(10+i, bad, 100+i), ident.Target(fmt.Sprint("d-", i)), "")
		}
		t.Logf("a linked daemon refuses after %v", refusedAfter(n.daemons["h-0"].detector, bad))
		must.LessEq(t, 100*time.Millisecond, refusedAfter(alone.detector, common), must.Sprint("by its own evidence"))
		took := refusedAfter(alone.detector, bad)
		t.Logf("a daemon without links refuses after another %v", took)
		must.LessEq(t, 2*time.Second, took)
		must.LessEq(t, 2*time.Second, refusedAfter(n.daemons["h-0"].detector, common))
	})
}

// TestOnlyTargetsThatRefuseConnectionsHaveEnded has the connections to targets lost
// that continue to serve, and then answers the same part elsewhere after crashes.
func TestOnlyTargetsThatRefuseConnectionsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newNetwork(1, nil).daemons["h-0"].detector
		var dial func() net.Conn
		d.opts.Dial = func(context.Context, string, string) (net.Conn, error) {
			if connection := dial(); connection != nil {
				return connection, nil
			}
			return nil, errRefused
		}
		lose := func() {
			for i := range uint64(minCrashes) {
				d.Lost(prompt(bad, 100+i), ident.Target(fmt.Sprint("d-", i)), "")
			}
			time.Sleep(time.Second)
		}
		dial = func() net.Conn {
			near, _ := net.Pipe()
			return near
		}
		lose()
		must.NoError(t, refusal(d, prompt(bad, 300)))
		dial = func() net.Conn {
			near, far := net.Pipe()
			time.AfterFunc(time.Millisecond, func() { _ = far.Close() })
			return near
		}
		lose()
		must.Error(t, refusal(d, prompt(bad, 300)), must.Sprint("connections that are closed at once"))
		d.Answered(prompt(bad, 400))
		must.NoError(t, refusal(d, prompt(bad, 300)))
		time.Sleep(time.Minute)
		dial = func() net.Conn { return nil }
		for i := range uint64(minCrashesAnswered) {
			d.Lost(prompt(bad, 100+i), ident.Target(fmt.Sprint("f-", i)), "")
			time.Sleep(time.Second)
		}
		err := refusal(d, prompt(bad, 300))
		must.Eq(t, fault.Unavailable, fault.KindOf(err))
		must.Eq(t, maxRetryAfter, fault.RetryAfterOf(err))
		must.NoError(t, refusal(d, prompt(bad)), must.Sprint("the last part is the request's own"))
		d.Answered(prompt(bad, 400))
		must.NoError(t, refusal(d, prompt(bad, 300)))
	})
}

// TestAnswersElsewhereClearAPart has a part in flight at crashes that one daemon
// reports, while another has answered it shortly before.
func TestAnswersElsewhereClearAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2, nil)
		n.daemons["h-0"].detector.Answered(prompt(session, 99))
		time.Sleep(10 * time.Second)
		for i := range uint64(minCrashes) {
			n.daemons["h-1"].detector.Lost(prompt(session, 100+i), ident.Target(fmt.Sprint("d-", i)), "")
		}
		time.Sleep(time.Second)
		for _, d := range n.daemons {
			must.NoError(t, refusal(d.detector, prompt(session, 300)))
		}
	})
}

// TestEndOfATargetNamesItsRequests guards against ends of targets whose requests can't be
// found: one that comes again has another ID each time. The line is bounded.
func TestEndOfATargetNamesItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newNetwork(1, nil).daemons["h-0"].detector
		var lines strings.Builder
		d.opts.Log = slog.New(slog.NewTextHandler(&lines, nil))
		for i := range 2 * maxLoggedRequests {
			d.Lost(&request.Request{ID: ident.Request(fmt.Sprint(i)), Path: fmt.Sprint("/", i)}, "app-1", "")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		must.StrContains(t, lines.String(), "target ended under requests")
		must.StrContains(t, lines.String(), fmt.Sprint("target=app-1 incarnation=", hashIncarnation("app-1", 1_800_000_000_000), " lost=", 2*maxLoggedRequests))
		for i := range 2 * maxLoggedRequests {
			repeated := &request.Request{ID: "another", Path: fmt.Sprint("/", i)}
			must.Eq(t, i < maxLoggedRequests, strings.Contains(lines.String(), repeated.Fingerprint().String()))
		}
	})
}
