package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the replicas.
const (
	heartbeat   = 1200 * time.Millisecond
	lapseAfter  = 3 * heartbeat
	switchTime  = time.Second
	slots       = 8
	plainWork   = 15 * time.Millisecond
	firstToken  = 30 * time.Millisecond
	streamSize  = 8
	deadlyMark  = "deadly"
	busyTimeout = 5 * time.Second
)

// replica is one address at which incarnations of a replica run, one after the other.
type replica struct {
	world   *world
	address string
	service string
	// pause is the time between two events.
	pause time.Duration
	// onDeadly is called by a run of a request that crashes replicas, after its first event.
	onDeadly func(r *replica)

	mu       sync.Mutex
	id       string
	version  string
	stage    string
	born     int64
	sequence int
	fence    uint64
	orders   int
	busy     bool
	handles  map[string]string
	server   *http.Server
	conns    map[net.Conn]bool
	up       bool
	// cut is whether the replica can't reach the store.
	cut bool
	// running counts the requests that run.
	running int
	// lastBeat is when the entry was last written.
	lastBeat time.Time
}

// start starts an incarnation.
func (r *replica) start(id, version string) error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.id, r.version, r.born = id, version, time.Now().UnixMilli()
	r.sequence, r.fence, r.orders, r.busy = 0, 0, 0, false
	r.handles, r.conns, r.up = make(map[string]string), make(map[net.Conn]bool), true
	r.running = 0
	r.server = &http.Server{Handler: r, ConnState: r.noteConn}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.world.rec.note("replica %s starts: version %s, address %s", id, version, r.address)
	r.beat()
	return nil
}

// noteConn keeps the connections, so that a crash closes them all.
func (r *replica) noteConn(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed:
		delete(r.conns, c)
	}
}

// crash ends the process as the kernel ends one that dies: the listener and all connections close.
func (r *replica) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	server, conns := r.server, r.conns
	r.conns = make(map[net.Conn]bool)
	id, lapses := r.id, r.lastBeat.Add(lapseAfter)
	r.mu.Unlock()
	go r.lapse(id, lapses)
	_ = server.Close()
	for c := range conns {
		_ = c.Close()
	}
	r.world.rec.note("replica %s crashes", id)
}

// beat writes the entry, unless the replica is down or cut off from the store.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.cut {
		return
	}
	r.sequence++
	r.lastBeat = time.Now()
	stage := ""
	if r.stage != "" {
		stage = fmt.Sprintf(`"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],`, r.stage)
	}
	r.world.store.put(word("entries")+r.id, fmt.Sprintf(word("entry"),
		r.service, r.address, r.version, slots, stage, r.born, r.sequence))
}

// keepBeating writes the entry at each heartbeat.
func (r *replica) keepBeating() {
	for {
		time.Sleep(heartbeat / 12)
		r.mu.Lock()
		due := time.Since(r.lastBeat) >= heartbeat
		r.mu.Unlock()
		if due {
			r.beat()
		}
	}
}

// lapse has the store remove the entry of an incarnation that crashed, unless it was written again.
func (r *replica) lapse(id string, at time.Time) {
	time.Sleep(time.Until(at))
	r.mu.Lock()
	again := r.id == id && time.Since(r.lastBeat) < lapseAfter
	r.mu.Unlock()
	if !again {
		r.world.store.remove(word("entries") + id)
	}
}

// ServeHTTP answers one call.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	id, version, stage, running := r.id, r.version, r.stage, r.running
	r.mu.Unlock()
	w.Header().Set(word("load"), fmt.Sprintf("%d,0,%d", running, slots))
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", id)
		return
	case q.URL.Path == word("reportPath"):
		r.report(w)
		return
	case strings.HasPrefix(q.URL.Path, word("handlePath")):
		return
	}
	if want := q.Header.Get(word("target")); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == word("orderPath") {
		r.order(w, body)
		return
	}
	request := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	r.world.rec.noteShown(request, keyIn(q, r.world.key))
	prefill := q.Header.Get(word("stage")) == "prefill"
	r.world.rec.arrival(request, id, version, prefill, string(body))
	switch {
	case stage != "" && prefill != (stage == "prefill"):
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case prefill:
		r.prefill(w, request)
	case q.Header.Get(word("source")) != "" && !r.world.take(q.Header.Get(word("source")), request):
		w.Header().Set(word("notRun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		r.run(w, q, id, version, string(body))
	}
}

// report tells the replica's state.
func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{
		"stage": r.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": r.busy,
		"sequence": r.orders, "waiting": 0, "running": r.running, "kvUsed": 0, "kvTotal": 440441, "kvHandles": len(r.handles), "born": r.born,
	})
}

// order takes an order to change the stage.
func (r *replica) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Operation    string `json:"operation"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Precondition *int   `json:"precondition"`
	}
	var fields map[string]json.RawMessage
	var fencing uint64
	malformed := json.Unmarshal(body, &order) != nil || json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields[word("orderFence")], &fencing) != nil
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case malformed || order.Operation != "stage" || order.Holder == "" || fencing == 0:
		status = http.StatusBadRequest
	case fencing < r.fence:
		status = http.StatusPreconditionFailed
	case r.busy || order.Precondition != nil && *order.Precondition != r.orders:
		status = http.StatusConflict
	case order.Stage == r.stage:
		status = http.StatusOK
	}
	if status == http.StatusAccepted || status == http.StatusOK {
		r.fence = fencing
	}
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	r.orders++
	r.busy = true
	r.world.rec.note("replica %s is ordered to the stage %s", r.id, order.Stage)
	go func(born int64) {
		time.Sleep(switchTime)
		r.mu.Lock()
		if r.born == born {
			r.stage, r.busy = order.Stage, false
		}
		r.mu.Unlock()
		r.beat()
	}(r.born)
}

// prefill answers a request whose prompt alone is to be read.
func (r *replica) prefill(w http.ResponseWriter, request string) {
	r.mu.Lock()
	handle := strconv.FormatInt(time.Now().UnixNano(), 36)
	r.handles[handle] = request
	r.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"kvHandle": handle, "tokens": 100, "version": 1})
}

// run runs a request.
func (r *replica) run(w http.ResponseWriter, q *http.Request, id, version, body string) {
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	request := q.Header.Get("X-Request-Id")
	signature := "sig-" + id
	if !strings.Contains(q.URL.Path, "stream") {
		time.Sleep(plainWork)
		r.world.rec.run(request, id, version, body)
		w.Header().Set(word("signature"), signature)
		_, _ = fmt.Fprintf(w, "%s %s", id, request)
		return
	}
	time.Sleep(firstToken)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(word("signature"), signature)
	w.Header().Set("X-Weight-Versions", "1")
	r.world.rec.run(request, id, version, body)
	r.events(q, w, version, body)
}

// events writes the events of a stream after the last one that the client has.
func (r *replica) events(q *http.Request, w http.ResponseWriter, version, body string) {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= streamSize; i++ {
		if i > after+1 {
			time.Sleep(r.pause)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if r.onDeadly != nil && strings.Contains(body, deadlyMark) {
			r.onDeadly(r)
			return
		}
	}
}

// readEvents reads a stream's events from an answer, until its end or a number of them. It returns
// the data of each, and whether the answer ended whole.
func readEvents(body io.Reader, most int) (data []string, whole bool) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return data, err == io.EOF
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			data = append(data, strings.TrimSpace(value))
		}
		if line == "\n" && most > 0 && len(data) >= most {
			return data, false
		}
	}
}
