package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the tombstone of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type grant struct {
	ttl, ends time.Duration
}

// store is the platform's metadata store, as the users' page describes it.
type store struct {
	mu       sync.Mutex
	start    time.Time
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*grant
	next     uint64
	changed  chan struct{}
	// away is how calls are treated: "" (served), "busy" (503) or "silent".
	away string
}

func newStore() *store {
	s := &store{start: time.Now(), revision: 100, items: map[string]item{}, leases: map[uint64]*grant{}, next: 1000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) now() time.Duration { return time.Since(s.start) }

func (s *store) expire() {
	if s.away != "" {
		return
	}
	for id, g := range s.leases {
		if s.now() >= g.ends {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.note(it)
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write puts a key as the operator or a replica does.
func (s *store) write(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// drop removes a key as a replica does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.remove(key)
	}
}

// setAway changes how calls are treated.
func (s *store) setAway(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != "" && how == "" {
		// Leases pause while the store is away.
		for _, g := range s.leases {
			g.ends = max(g.ends, s.now()+g.ttl)
		}
	}
	s.away = how
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	switch away {
	case "busy":
		w.WriteHeader(503)
		return
	case "silent":
		<-q.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case q.URL.Path == name("key"):
		s.mu.Lock()
		it, ok := s.items[q.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, it)
	case q.URL.Path == name("range"):
		s.list(w, q)
	case q.URL.Path == name("watch"):
		s.watch(w, q)
	case q.URL.Path == name("txn"):
		s.commit(w, q)
	case q.URL.Path == name("lease"):
		var asked struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(q.Body).Decode(&asked)
		ttl := time.Duration(max(1000, asked.TTLMs)) * time.Millisecond
		s.mu.Lock()
		s.next++
		id := s.next
		s.leases[id] = &grant{ttl: ttl, ends: s.now() + ttl}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(q.URL.Path, name("keep")), strings.HasPrefix(q.URL.Path, name("leaseEnd")):
		id, _ := strconv.ParseUint(q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		g := s.leases[id]
		if g == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if q.Method == "DELETE" {
			s.endLease(id)
		} else {
			g.ends = s.now() + g.ttl
		}
		reply(w, 200, map[string]any{"ttlMs": g.ttl.Milliseconds()})
	default:
		w.WriteHeader(404)
	}
}

func (s *store) list(w http.ResponseWriter, q *http.Request) {
	prefix, after := q.FormValue(name("prefix")), q.FormValue("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	truncated := len(found) > 500
	if truncated {
		found = found[:500]
	}
	reply(w, 200, map[string]any{"items": found, "truncated": truncated, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(q.FormValue("waitMs"))
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if s.away != "" {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.FormValue(name("prefix"))) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&txn) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var present []item
	holds := true
	for _, condition := range txn.Precondition {
		it, ok := s.items[condition.Key]
		if ok {
			present = append(present, it)
		}
		holds = holds && it.Revision == condition.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": present})
		return
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, name("operatorKeys")) || strings.HasPrefix(p.Key, name("replicaKeys")) {
			w.WriteHeader(403)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}
