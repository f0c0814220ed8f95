package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replicaSpec describes a replica.
type replicaSpec struct {
	id, service, zone string
	// stage is empty for a plain service.
	stage, version string
	slots          int
	// queue is how many requests wait beyond the slots until one ends. More are rejected.
	queue int
	// work is how long a plain request runs. events is the number of events of a stream,
	// pause the time between two of them, prefill how long a prompt takes.
	work, pause, prefill time.Duration
	// streams is set if a plain service answers with streams.
	streams bool
	// Without events, a stream has as many as the request states output tokens.
	events int
}

// arrival is a request that reached a replica.
type arrival struct {
	at                   float64
	id, replica, version string
	gateway, prefix      string
	born                 int64
	// kind is run, prefill, misdirected or rejected.
	kind string
}

// behavior changes what a replica does with a request. It returns true if it has answered.
type behavior func(w http.ResponseWriter, q *http.Request, r *replica) bool

// replica is one replica of a service, which may start again under its id and address.
type replica struct {
	rec   *record
	store *store

	mu       sync.Mutex
	spec     replicaSpec
	address  string
	born     int64
	state    string
	up       bool
	busy     bool
	sequence int
	fence    uint64
	server   *http.Server
	behave   behavior
	running  atomic.Int64
	// taken holds the slots that requests have, if others wait for them.
	taken chan struct{}
	stop  context.CancelFunc

	arrivals *arrivals
}

// arrivals collects what reached all replicas.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(each arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, each)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// heartbeat is the interval at which replicas write their entries.
const heartbeat = 1200 * time.Millisecond

func newReplica(rec *record, s *store, a *arrivals, spec replicaSpec) (*replica, error) {
	r := &replica{rec: rec, store: s, arrivals: a, spec: spec, state: "ready"}
	if err := r.start(spec.version); err != nil {
		return nil, err
	}
	return r, nil
}

// start starts the replica as a new incarnation with the given version of its software.
func (r *replica) start(version string) error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.spec.version = version
	r.born = time.Now().UnixMilli()
	r.state, r.up, r.busy, r.sequence, r.fence = "ready", true, false, 0, 0
	r.stop, r.taken = cancel, make(chan struct{}, r.spec.slots)
	server := &http.Server{Handler: http.HandlerFunc(r.serve), BaseContext: func(net.Listener) context.Context { return ctx }}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go r.beat(ctx)
	r.rec.add("replica %s starts: service %s, stage %q, version %s, born %d", r.spec.id, r.spec.service, r.spec.stage, version, r.born)
	return nil
}

// crash ends the replica's process: its connections and its listener are closed, and it
// writes nothing more.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.stop()
	_ = r.server.Close()
	r.rec.add("replica %s ends (version %s)", r.spec.id, r.spec.version)
}

// beat writes the replica's entry until ctx ends.
func (r *replica) beat(ctx context.Context) {
	for {
		written := r.writeEntry()
		pause := heartbeat
		if !written {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// writeEntry writes the replica's entry, and reports false while the store doesn't take it.
func (r *replica) writeEntry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return true
	}
	r.sequence++
	entry := map[string]any{
		"service": r.spec.service, "address": r.address, "zone": r.spec.zone, "version": r.spec.version, "slots": r.spec.slots,
		"state": r.state, word("cold"): 0, "sequence": r.sequence, "born": r.born,
	}
	if r.spec.stage != "" {
		entry["stage"] = r.spec.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	text, _ := json.Marshal(entry)
	return r.store.put(r.spec.id, word("entries")+r.spec.id, text)
}

func (r *replica) setBehavior(b behavior) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behave = b
}

// serve answers one request.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	spec, born, busy, behave, slots := r.spec, r.born, r.busy, r.behave, r.taken
	r.mu.Unlock()
	id := q.Header.Get("X-Request-Id")
	gateway := q.RemoteAddr
	arrived := arrival{at: r.rec.now(), id: id, replica: spec.id, version: spec.version, born: born, gateway: gateway, prefix: q.Header.Get(word("prompt")), kind: "run"}
	if wanted := q.Header.Get(word("target")); wanted != "" && wanted != spec.id {
		arrived.kind = "misdirected"
		r.arrivals.add(arrived)
		w.Header().Set("X-Instance-Id", spec.id)
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == word("report"):
		r.report(w)
		return
	case q.URL.Path == word("order"):
		r.order(w, body)
		return
	case strings.HasPrefix(q.URL.Path, "/v1/"):
		w.WriteHeader(http.StatusOK)
		return
	case q.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", spec.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Request-Id", id)
	prefill := q.Header.Get(word("stage")) == "prefill"
	wrongStage := spec.stage != "" && prefill != (spec.stage == "prefill")
	switch {
	case wrongStage:
		arrived.kind = "misdirected"
	case busy || r.running.Load() >= int64(spec.slots+spec.queue):
		arrived.kind = "rejected"
	case prefill:
		arrived.kind = "prefill"
	}
	r.arrivals.add(arrived)
	r.rec.add("%s at %s (version %s): request %s, last event %q", arrived.kind, spec.id, spec.version, id, q.Header.Get("Last-Event-Id"))
	switch arrived.kind {
	case "misdirected":
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case "rejected":
		w.Header().Set(word("notRun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behave != nil && behave(w, q, r) {
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	if spec.queue > 0 {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-q.Context().Done():
			panic(http.ErrAbortHandler)
		}
		running = r.running.Load()
	}
	w.Header().Set(word("load"), fmt.Sprintf("%d,%d,%d", min(running, int64(spec.slots)), max(0, running-int64(spec.slots)), spec.slots))
	switch {
	case prefill:
		sleep(q.Context(), spec.prefill)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"kvHandle":"%x%s","tokens":100,"version":1}`, born, strings.ReplaceAll(id, "-", ""))
	case spec.stage == "" && !spec.streams:
		sleep(q.Context(), spec.work)
		if q.Context().Err() != nil {
			return
		}
		w.Header().Set(word("signature"), "sig-"+spec.id)
		_, _ = fmt.Fprintf(w, "%s %s", id, body)
	default:
		r.stream(w, q, spec)
	}
}

// stream answers with the events after the last one that the caller has. Each names the
// version that wrote it.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, spec replicaSpec) {
	w.Header().Set(word("signature"), "sig-"+spec.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	events := spec.events
	if events == 0 {
		_, asked, _ := strings.Cut(q.Header.Get(word("tokens")), ",")
		events, _ = strconv.Atoi(asked)
	}
	for i := after + 1; i <= events; i++ {
		if !sleep(q.Context(), spec.pause) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, spec.version, spec.id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// sleep waits, and reports false if ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": r.spec.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": r.busy,
		"sequence": r.fenceSequence(), "waiting": max(0, r.running.Load()-int64(r.spec.slots)), "running": min(r.running.Load(), int64(r.spec.slots)), "kvUsed": 0, "kvTotal": 400000, "kvHandles": 0, "born": r.born,
	})
}

// fenceSequence returns the number of orders accepted; r.mu must be held.
func (r *replica) fenceSequence() int { return r.orders() }

// switchTime is how long a change of stage takes.
const switchTime = 3 * time.Second

func (r *replica) orders() int { return int(r.fence >> 48) }

// order takes an order to change the stage.
func (r *replica) order(w http.ResponseWriter, body []byte) {
	var asked struct {
		Operation    string  `json:"operation"`
		Stage        string  `json:"stage"`
		Holder       string  `json:"holder"`
		Precondition *uint64 `json:"precondition"`
	}
	var fields map[string]json.RawMessage
	var fencing uint64
	if json.Unmarshal(body, &asked) != nil || json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields[word("orderFencing")], &fencing) != nil ||
		asked.Operation != "stage" || asked.Holder == "" || fencing == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	count, seen := r.fence>>48, r.fence&(1<<48-1)
	status := http.StatusAccepted
	switch {
	case fencing&(1<<48-1) < seen:
		status = http.StatusPreconditionFailed
	case asked.Stage == r.spec.stage:
		status = http.StatusOK
	case r.busy, asked.Precondition != nil && *asked.Precondition != count:
		status = http.StatusConflict
	}
	if status == http.StatusAccepted {
		r.fence = (count+1)<<48 | fencing&(1<<48-1)
		r.busy = true
		born := r.born
		time.AfterFunc(switchTime, func() {
			r.mu.Lock()
			if r.born == born && r.up {
				r.spec.stage, r.busy = asked.Stage, false
			}
			r.mu.Unlock()
			r.writeEntry()
		})
	}
	r.rec.add("order at %s from %s, fencing token %d, stage %s -> %d", r.spec.id, asked.Holder, fencing, asked.Stage, status)
	w.WriteHeader(status)
}
