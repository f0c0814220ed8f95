package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	pageItems   = 500
	historyKept = 20 * time.Second
	leaseTick   = 20 * time.Millisecond
)

// item is one key of the store, or the event of its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// lease is one lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// dropped is the newest revision whose event is no longer kept.
	dropped   uint64
	leases    map[uint64]*lease
	lastLease uint64
	// changed is closed at the next change.
	changed chan struct{}
}

// newStore returns an empty store, whose leases end by the clock.
func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), lastLease: 7000, changed: make(chan struct{})}
	s.dropped = s.revision
	go s.endLeases()
	return s
}

// endLeases removes the keys of leases that have ended.
func (s *store) endLeases() {
	for range time.Tick(leaseTick) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease. s.mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, found := range s.items {
		if found.Lease == id {
			s.change(item{Key: key, Tombstone: true})
		}
	}
}

// change applies one change with a revision of its own. s.mu must be held.
func (s *store) change(c item) {
	s.revision++
	s.apply(c)
}

// apply applies one change at the present revision. s.mu must be held.
func (s *store) apply(c item) {
	c.Revision, c.at = s.revision, time.Now()
	if c.Tombstone {
		delete(s.items, c.Key)
	} else {
		c.Created = s.revision
		if known, ok := s.items[c.Key]; ok {
			c.Created = known.Created
		}
		s.items[c.Key] = c
	}
	s.events = append(s.events, c)
	for len(s.events) > 0 && time.Since(s.events[0].at) > historyKept {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a replica does.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: []byte(value)})
}

// remove removes a key, if it is there.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Tombstone: true})
	}
}

// handler serves the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+word("storeKey"), s.getKey)
	mux.HandleFunc("GET "+word("storeRange"), s.getRange)
	mux.HandleFunc("GET "+word("storeWatch"), s.watch)
	mux.HandleFunc("POST "+word("storeTxn"), s.commit)
	mux.HandleFunc("POST "+word("storeLease"), s.grant)
	mux.HandleFunc("POST "+word("storeKeep")+"{id}", s.keep)
	mux.HandleFunc("DELETE "+word("storeEnd")+"{id}", s.end)
	return mux
}

// respond writes a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// getKey returns one key.
func (s *store) getKey(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	found, ok := s.items[q.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	respond(w, http.StatusOK, found)
}

// getRange returns a page of the keys under a prefix.
func (s *store) getRange(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, q.FormValue(word("storePrefix"))) && key > q.FormValue("after") {
			items = append(items, found)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageItems
	respond(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "asOf": asOf})
}

// watch waits for changes under a prefix.
func (s *store) watch(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(q.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, asOf, changed, gone := []item{}, s.revision, s.changed, after < s.dropped
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.FormValue(word("storePrefix"))) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if gone {
			respond(w, http.StatusGone, map[string]any{})
			return
		}
		if len(events) > 0 || !waiting {
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-timer.C:
			waiting = false
		case <-changed:
		}
	}
}

// commit applies a transaction.
func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var txn struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&txn) != nil || len(txn.Precondition)+len(txn.Puts)+len(txn.Remove) > 32 {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []item{}, true
	for _, p := range txn.Precondition {
		holds = holds && s.items[p.Key].Revision == p.Revision
		if known, ok := s.items[p.Key]; ok {
			found = append(found, known)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, word("operatorKeys")) || strings.HasPrefix(p.Key, word("entries")) {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range txn.Remove {
		s.apply(item{Key: key, Tombstone: true})
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// grant creates a lease.
func (s *store) grant(w http.ResponseWriter, q *http.Request) {
	var asked struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(q.Body).Decode(&asked) != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := min(max(time.Duration(asked.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

// keep renews a lease.
func (s *store) keep(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	respond(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

// end ends a lease.
func (s *store) end(w http.ResponseWriter, q *http.Request) {
	id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	respond(w, http.StatusOK, map[string]any{})
}
