package streamorigin

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/mirror"
	"amaranthplank.example/amaranthplank/pkg/registry"
	"amaranthplank.example/amaranthplank/pkg/standin/memstore"
	"amaranthplank.example/amaranthplank/pkg/storeera"
)

const (
	// entriesPrefix is the prefix of the targets' entries.
	entriesPrefix external.Key = "entries/"
	// orderSteps is the number of steps of an order, and orderStep the time between two.
	orderSteps = 600
	orderStep  = 50 * time.Millisecond
	// heartbeatSteps is the number of steps after which targets write their entries again.
	heartbeatSteps = 10
	// callerPatience is how long a caller waits for the next event.
	callerPatience = 6 * time.Second
)

// drawnDaemon is one daemon over real views of the store.
type drawnDaemon struct {
	table  *Table
	view   *registry.Registry
	store  *daemonStore
	cancel context.CancelFunc
	// cut is set while it has no links.
	cut bool
}

// drawnTarget is a target that serves.
type drawnTarget struct {
	name    string
	pool    ident.Pool
	version ident.SoftwareVersion
}

// drawnStream is a stream that broke off, whose caller takes it up again.
type drawnStream struct {
	id      ident.Request
	pool    ident.Pool
	version ident.SoftwareVersion
	until   time.Time
}

// pendingEvent is something that happens later in an order.
type pendingEvent struct {
	at time.Time
	do func()
}

// drawnOrder is one order of events over daemons, targets and a store.
type drawnOrder struct {
	t       *testing.T
	random  *rand.Rand
	memory  *memstore.Store
	store   *countingStore
	daemons []*drawnDaemon
	targets map[string]*drawnTarget
	copied  *memstore.Snapshot
	// timeout is that of the configuration in force, in nanoseconds.
	timeout atomic.Int64
	streams []*drawnStream
	pending []pendingEvent
	named   int
	// begun and refusedNew count new streams, takenUp, wentOn and mixed those taken up.
	begun, refusedNew, takenUp, wentOn, mixed int
}

var drawnPools = []ident.Pool{{Model: "m"}, {Service: "s"}}

// decodeDrawn decodes a target's entry: its pool and version.
func decodeDrawn(entry external.Entry) (registry.Registration, bool) {
	fields := strings.Split(string(entry.Value), " ")
	record := external.TargetRecord{Target: ident.Target(entry.Key), Address: "127.0.0.1:1", SoftwareVersion: ident.SoftwareVersion(fields[1])}
	if fields[0] == "m" {
		record.Model = "m"
	} else {
		record.Service = "s"
	}
	return registry.Registration{Record: record, Slots: 1}, true
}

// startDaemon starts the daemon of a place in the list.
func (o *drawnOrder) startDaemon(place int) {
	ctx, cancel := context.WithCancel(o.t.Context())
	log, host := slog.New(slog.DiscardHandler), ident.Host(fmt.Sprint("host-", place))
	d := &drawnDaemon{store: &daemonStore{countingStore: o.store}, cancel: cancel}
	guard := storeera.New(d.store, log, prometheus.NewRegistry())
	d.view = registry.New(registry.Options{Prefix: entriesPrefix, Decode: decodeDrawn, Log: log})
	var m *mirror.Mirror
	d.table = New(Options{
		View: d.view, Now: time.Now, Retention: func() time.Duration { return time.Duration(o.timeout.Load()) + callerPatience },
		Age: func() (time.Duration, bool) { return m.Age() }, Ask: func(_ ident.Pool, key []byte) { o.ask(d, key) },
		Log: log, Registerer: prometheus.NewRegistry(),
	})
	hosts := func() (others []ident.Host) {
		for i := range o.daemons {
			if i != place {
				others = append(others, ident.Host(fmt.Sprint("host-", i)))
			}
		}
		return others
	}
	records := NewRecords(d.table, RecordOptions{Self: host, Store: guard, Hosts: hosts, Log: log, TracePrefix: testTrace, HasRequests: func([]byte) bool { return true }})
	streams := NewStoreCopy(d.table, CopyOptions{Self: host, Store: guard, Daemons: func() int { return len(o.daemons) }, Log: log})
	m = mirror.New(mirror.Options{Store: guard, Pause: 400 * time.Millisecond, CallTimeout: mirror.DefaultCallTimeout, Log: log}, records, streams, d.view)
	for _, run := range []func(context.Context) error{m.Run, d.table.Run, records.Run, streams.Run} {
		go func() { _ = run(ctx) }()
	}
	o.daemons[place] = d
}

// ask has the linked daemons answer a question.
func (o *drawnOrder) ask(from *drawnDaemon, key []byte) {
	for _, other := range o.daemons {
		if other != nil && other != from && !other.cut && !from.cut {
			from.table.learn(other.table.Known(key), false)
		}
	}
}

// report sends the streams that daemons have begun to the linked ones.
func (o *drawnOrder) report() {
	for _, d := range o.daemons {
		if d == nil || d.cut {
			continue
		}
		unsent := d.table.TakeUnsent()
		for _, other := range o.daemons {
			if other != nil && other != d && !other.cut {
				other.table.Learn(unsent)
			}
		}
	}
}

// place returns a target in a daemon's view that serves and has the version, or any version
// that isn't to be avoided.
func (o *drawnOrder) place(d *drawnDaemon, pool ident.Pool, version *ident.SoftwareVersion) *drawnTarget {
	snapshot, avoid := d.view.Snapshot(), d.table.Unrecorded(pool)
	var found []*drawnTarget
	for _, i := range snapshot.Pool(pool) {
		record := &snapshot.Targets[i].Record
		target := o.targets[strings.TrimPrefix(string(record.Target), string(entriesPrefix))]
		allowed := version == nil && !slices.Contains(avoid, record.SoftwareVersion) || version != nil && *version == record.SoftwareVersion
		if target != nil && allowed {
			found = append(found, target)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[o.random.IntN(len(found))]
}

// daemon returns a random daemon that runs and has read the store, or nil.
func (o *drawnOrder) daemon() *drawnDaemon {
	d := o.daemons[o.random.IntN(len(o.daemons))]
	if d == nil || !d.view.Loaded() {
		return nil
	}
	return d
}

// begin begins a stream at a random daemon, which breaks off at once or runs for some time.
func (o *drawnOrder) begin() {
	d := o.daemon()
	if d == nil {
		return
	}
	pool := drawnPools[o.random.IntN(2)]
	target := o.place(d, pool, nil)
	if target == nil {
		o.refusedNew++
		return
	}
	o.begun++
	stream := &drawnStream{id: ident.Request(fmt.Sprint("stream-", o.begun)), pool: pool, version: target.version}
	o.goOn(d, stream)
	o.streams = append(o.streams, stream)
}

// goOn has a stream go on at a daemon until it breaks off.
func (o *drawnOrder) goOn(d *drawnDaemon, stream *drawnStream) {
	d.table.Began(stream.pool, stream.id, stream.version)
	stream.until = time.Now().Add(time.Duration(o.random.Int64N(o.timeout.Load())) + callerPatience)
}

// drawStream returns a random stream, more often one of the newest or the oldest.
func (o *drawnOrder) drawStream() *drawnStream {
	end := o.random.IntN(min(10, len(o.streams)))
	switch o.random.IntN(3) {
	case 0:
		return o.streams[end]
	case 1:
		return o.streams[len(o.streams)-1-end]
	}
	return o.streams[o.random.IntN(len(o.streams))]
}

// takeUp takes a stream up at a random daemon.
func (o *drawnOrder) takeUp(stream *drawnStream) {
	d := o.daemon()
	if d == nil {
		return
	}
	o.takenUp++
	version, err := d.table.VersionOf(o.t.Context(), stream.pool, "again", stream.id)
	if err != nil {
		return
	}
	target := o.place(d, stream.pool, &version)
	if target == nil {
		return
	}
	o.wentOn++
	if target.version != stream.version {
		o.mixed++
		return
	}
	o.goOn(d, stream)
}

// play plays the order.
func (o *drawnOrder) play() {
	for _, pool := range drawnPools {
		o.add(pool, "v0")
	}
	for place := range o.daemons {
		o.startDaemon(place)
	}
	time.Sleep(5 * time.Second)
	calm := []int{10, 40, 100}[o.random.IntN(3)]
	for step := range orderSteps {
		o.doPending()
		if o.random.IntN(calm) == 0 {
			o.disturb()
		}
		if place := step % (4 * len(o.daemons)); place < len(o.daemons) && o.daemons[place] == nil {
			o.startDaemon(place)
		}
		if o.random.IntN(3) == 0 {
			o.report()
		}
		if step%heartbeatSteps == 0 && !o.store.away.Load() {
			o.writeAll()
		}
		o.begin()
		now := time.Now()
		o.streams = slices.DeleteFunc(o.streams, func(s *drawnStream) bool { return s.until.Before(now) })
		for range 3 {
			if len(o.streams) > 0 {
				o.takeUp(o.drawStream())
			}
		}
		time.Sleep(time.Duration(o.random.Int64N(int64(2 * orderStep))))
	}
	for place := range o.daemons {
		o.kill(place)
	}
	synctest.Wait()
}
