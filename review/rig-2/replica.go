package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a replica got.
type arrival struct {
	at           time.Time
	id, method   string
	target, body string
	prefill, ran bool
	header       http.Header
}

// replica is one replica, which serves by http and keeps its entry in the store.
type replica struct {
	world              *world
	id, service, stage string
	version, zone      string
	slots              int
	address            string
	born               int64
	server             *http.Server
	quit               chan struct{}
	// run answers a request that the replica runs; it may be nil.
	run func(r *replica, w http.ResponseWriter, q *http.Request, body string)
	// before may answer a request before the replica runs it.
	before func(r *replica, w http.ResponseWriter, q *http.Request, a *arrival) bool

	mu       sync.Mutex
	state    string
	arrivals []arrival
}

// addReplica starts a replica of a service; stage is empty for plain services.
func (w *world) addReplica(id, service, stage string, slots int) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		world: w, id: id, service: service, stage: stage, version: "v1", zone: "z1", slots: slots, state: "ready",
		address: listener.Addr().String(), born: time.Now().UnixMilli(), quit: make(chan struct{}),
	}
	r.serve(listener)
	r.register()
	go r.beat()
	return r, nil
}

func (r *replica) serve(listener net.Listener) {
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
}

// crash ends the replica's process: all its connections are reset.
func (r *replica) crash() { _ = r.server.Close() }

// again starts the replica again at its address, with the id that it had.
func (r *replica) again() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.mu.Unlock()
	r.serve(listener)
	r.register()
	return nil
}

// register writes the replica's entry.
func (r *replica) register() {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": r.state, name("cold"): 0, "sequence": 0, "born": r.born,
	}
	if r.stage != "" {
		entry["stage"] = r.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.mu.Unlock()
	r.world.store.write(name("replicaKeys")+r.id, entry)
}

// beat writes the entry now and then; the store's copy changes only if it does.
func (r *replica) beat() {
	for {
		select {
		case <-r.quit:
			return
		case <-time.After(5 * time.Second):
		}
	}
}

// got returns the requests that reached the replica.
func (r *replica) got() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(200)
		return
	}
	if q.URL.Path == name("report") {
		reply(w, 200, map[string]any{"stage": r.stage, "sequence": 0, "busy": false})
		return
	}
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	a := arrival{
		at: time.Now(), id: id, method: q.Method, target: q.RequestURI, body: string(body), header: q.Header.Clone(),
		prefill: q.Header.Get(name("stage")) == "prefill",
	}
	if q.Header.Get(name("target")) != r.id {
		w.Header().Set(name("notRun"), "1")
		w.WriteHeader(421)
		return
	}
	if r.before != nil && r.before(r, w, q, &a) {
		r.keep(a)
		return
	}
	a.ran = !a.prefill
	r.keep(a)
	switch {
	case a.prefill:
		reply(w, 200, map[string]any{"kvHandle": fmt.Sprintf("%x", time.Now().UnixNano()), "tokens": 10, "version": 1})
	case r.run != nil:
		r.run(r, w, q, string(body))
	default:
		time.Sleep(15 * time.Millisecond)
		w.Header().Set(name("signature"), "sig."+r.id+"."+id)
		fmt.Fprintf(w, "%s answers %s %s", r.id, id, body)
	}
}

func (r *replica) keep(a arrival) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.world.note("%s gets %s %s %s, runs %t", r.id, a.id, a.method, a.target, a.ran)
}

// abort ends the connection of a request without the end of its answer.
func abort() { panic(http.ErrAbortHandler) }

// events writes n events of a stream from an ID on.
func events(w http.ResponseWriter, from, n int, pause time.Duration, text func(i int) string) {
	for i := from; i < from+n; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, text(i))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// configure writes the operator's configuration. Each route is given as JSON.
func (w *world) configure(text string) {
	w.version += 3
	text = strings.Replace(text, "VERSION", fmt.Sprint(w.version), 1)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put(name("config"), []byte(text), 0)
}
