package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloudCall is a call of a duty.
type cloudCall struct {
	at      float64
	subject string
	holder  string
	fencing uint64
	window  int64
	counts  map[string]uint64
	status  int
	// since is how long before the call the links of its sender healed.
	since time.Duration
}

// cloud takes usage reports and orders of replicas. It checks fencing tokens unless unfenced
// is set. If dry is set, it has no replicas of the cheaper kind to give.
type cloud struct {
	rec           *record
	unfenced, dry bool
	// healed returns when the links of a machine last healed.
	healed func(machine string) time.Time

	mu       sync.Mutex
	highest  map[string]uint64
	accepted map[int64]map[string]uint64
	calls    []cloudCall
	// twice describes the windows that were accepted with different counts.
	twice  []string
	server *http.Server
	// onAccept is called once when a report was accepted, before it is answered.
	onAccept func()
}

func newCloud(rec *record) (*cloud, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	c := &cloud{rec: rec, highest: map[string]uint64{}, accepted: map[int64]map[string]uint64{}}
	c.server = &http.Server{Handler: c}
	go func() { _ = c.server.Serve(listener) }()
	return c, listener.Addr().String(), nil
}

func (c *cloud) close() { _ = c.server.Close() }

// ServeHTTP takes one call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var body struct {
		Window  int64             `json:"window"`
		Counts  map[string]uint64 `json:"counts"`
		Service string            `json:"service"`
		Zone    string            `json:"zone"`
		Spot    bool              `json:"spot"`
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &body) != nil || json.Unmarshal(text, &fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fencing, _ := strconv.ParseUint(q.Header.Get(word("fencing")), 10, 64)
	call := cloudCall{at: c.rec.now(), subject: "usage", holder: q.Header.Get(word("holder")), fencing: fencing, status: http.StatusOK}
	if q.URL.Path == "/usage" {
		call.window, call.counts = body.Window, body.Counts
	} else {
		call.subject = fmt.Sprintf("scale %s %s", body.Service, body.Zone)
	}
	if c.healed != nil {
		call.since = time.Since(c.healed(call.holder))
	}
	c.mu.Lock()
	switch {
	case c.dry && body.Spot:
		call.status = http.StatusConflict
	case fencing < c.highest[call.subject] && !c.unfenced:
		call.status = http.StatusConflict
	case q.URL.Path == "/usage":
		c.highest[call.subject] = fencing
		if known, ok := c.accepted[body.Window]; ok && !maps.Equal(known, body.Counts) {
			c.twice = append(c.twice, fmt.Sprintf("window %d: %v, then %v", body.Window, known, body.Counts))
		} else {
			c.accepted[body.Window] = body.Counts
		}
	default:
		c.highest[call.subject] = fencing
	}
	c.calls = append(c.calls, call)
	onAccept := c.onAccept
	if call.subject == "usage" && call.status == http.StatusOK {
		c.onAccept = nil
	} else {
		onAccept = nil
	}
	c.mu.Unlock()
	if onAccept != nil {
		onAccept()
	}
	c.rec.add("platform: %s from %s, fencing token %d, window %d, counts %v, desired %s, spot %v -> %d", call.subject, call.holder, call.fencing, call.window, call.counts, fields[word("desired")], body.Spot, call.status)
	w.WriteHeader(call.status)
}

// all returns the calls so far.
func (c *cloud) all() []cloudCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cloudCall(nil), c.calls...)
}
