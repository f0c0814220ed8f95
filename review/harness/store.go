package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageLimit is the most items of one page of a range.
const pageLimit = 500

// historyLimit is how many changes the store remembers.
const historyLimit = 20000

// storeFault is how the store treats the calls of one host.
type storeFault int

const (
	storeSound storeFault = iota
	// storeBusy responds with 503: nothing was done.
	storeBusy
	// storeSilent doesn't respond.
	storeSilent
)

// kv is one key of the store in the store's format.
type kv struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeLease is a lease of the store.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeState is all that the store loses when it comes back from an older copy.
type storeState struct {
	revision  uint64
	nextLease uint64
	items     map[string]kv
	leases    map[uint64]storeLease
	history   []kv
}

func (s storeState) clone() storeState {
	s.items, s.leases = maps.Clone(s.items), maps.Clone(s.leases)
	s.history = append([]kv(nil), s.history...)
	return s
}

// store is the platform's metadata store.
type store struct {
	rec *record

	mu      sync.Mutex
	state   storeState
	changed chan struct{}
	faults  map[string]storeFault
	// withEra makes the answers bear their era.
	withEra bool
	era     uint64
	servers []*http.Server
	stop    chan struct{}
	// writtenAt is when a key was last written.
	writtenAt map[string]time.Time
}

func newStore(rec *record) *store {
	s := &store{
		rec: rec, changed: make(chan struct{}), faults: map[string]storeFault{}, stop: make(chan struct{}), writtenAt: map[string]time.Time{},
		state: storeState{revision: 100, nextLease: 1000, items: map[string]kv{}, leases: map[uint64]storeLease{}},
	}
	go s.expireLeases()
	return s
}

func (s *store) close() {
	close(s.stop)
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		now := time.Now()
		for id, lease := range s.state.leases {
			if now.After(lease.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease; s.mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.state.leases, id)
	var keys []string
	for key, item := range s.state.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.state.revision++
	for _, key := range keys {
		s.remove(key)
	}
	s.wake()
}

// remove removes a key at the present revision; s.mu must be held.
func (s *store) remove(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	delete(s.state.items, key)
	s.remember(kv{Key: key, Revision: s.state.revision, Tombstone: true})
}

// write writes a key at the present revision; s.mu must be held.
func (s *store) write(key string, value []byte, lease uint64) {
	item := kv{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: lease}
	if before, ok := s.state.items[key]; ok {
		item.Created = before.Created
	}
	s.state.items[key] = item
	s.writtenAt[key] = time.Now()
	s.remember(item)
}

func (s *store) remember(change kv) {
	s.state.history = append(s.state.history, change)
	if len(s.state.history) > historyLimit {
		s.state.history = append([]kv(nil), s.state.history[historyLimit/2:]...)
	}
}

// wake wakes the watches; s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a replica does. It reports false while the store is
// down for the given writer.
func (s *store) put(writer, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultOf(writer) != storeSound {
		return false
	}
	s.state.revision++
	s.write(key, value, 0)
	s.wake()
	return true
}

// del removes a key as a replica does.
func (s *store) del(writer, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultOf(writer) != storeSound {
		return false
	}
	s.state.revision++
	s.remove(key)
	s.wake()
	return true
}

// all is the name under which a fault strikes every caller.
const all = "*"

// faultOf returns the fault for a caller; s.mu must be held.
func (s *store) faultOf(caller string) storeFault {
	if fault := s.faults[all]; fault != storeSound {
		return fault
	}
	return s.faults[caller]
}

// setFault sets how the store treats a caller's calls.
func (s *store) setFault(caller string, fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = fault
	// Waiting watches are cut.
	s.wake()
}

// copyOf returns a copy of the store's state.
func (s *store) copyOf() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// restore brings the store back from a copy.
func (s *store) restore(copied storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = copied.clone()
	s.era++
	s.wake()
}

// lastWrite returns when a key that starts with the prefix was last written.
func (s *store) lastWrite(prefix string) (at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, written := range s.writtenAt {
		if strings.HasPrefix(key, prefix) && written.After(at) {
			at = written
		}
	}
	return at
}

// value returns a key's value.
func (s *store) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.state.items[key]
	return item.Value, ok
}

// serve serves the store to one host and returns the address.
func (s *store) serve(host string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.call(host, w, q) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// call handles one call of a host.
func (s *store) call(host string, w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	fault := s.faultOf(host)
	if s.withEra {
		w.Header().Set(word("era"), strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	switch fault {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeSilent:
		<-q.Context().Done()
		return
	}
	time.Sleep(2 * time.Millisecond)
	path := q.URL.Path
	switch {
	case path == word("key"):
		s.getKey(w, q)
	case path == word("range"):
		s.getRange(w, q)
	case path == word("watch"):
		s.watch(host, w, q)
	case path == word("txn"):
		s.commit(w, q)
	case path == word("lease"):
		s.grant(w, q)
	case strings.HasPrefix(path, word("keep")):
		s.keep(w, strings.TrimPrefix(path, word("keep")))
	case strings.HasPrefix(path, word("end")):
		s.end(w, strings.TrimPrefix(path, word("end")))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	item, ok := s.state.items[q.FormValue("key")]
	asOf := s.state.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "asOf": asOf,
	})
}

func (s *store) getRange(w http.ResponseWriter, q *http.Request) {
	prefix, after := q.FormValue(word("prefix")), q.FormValue("after")
	s.mu.Lock()
	var items []kv
	for key, item := range s.state.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	asOf := s.state.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageLimit
	items = items[:min(len(items), pageLimit)]
	if items == nil {
		items = []kv{}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": asOf})
}

func (s *store) watch(host string, w http.ResponseWriter, q *http.Request) {
	prefix := q.FormValue(word("prefix"))
	after, _ := strconv.ParseUint(q.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(q.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		if s.faultOf(host) != storeSound || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		state := &s.state
		if after > state.revision || (len(state.history) > 0 && after+1 < state.history[0].Revision && len(state.history) >= historyLimit/2) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []kv{}
		at := sort.Search(len(state.history), func(i int) bool { return state.history[i].Revision > after })
		for _, change := range state.history[at:] {
			if strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		asOf, changed := state.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-q.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var txn struct {
		Precondition []kv     `json:"precondition"`
		Puts         []kv     `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(q.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range txn.Precondition {
		if s.state.items[condition.Key].Revision != condition.Revision {
			items := []kv{}
			for _, each := range txn.Precondition {
				if item, ok := s.state.items[each.Key]; ok {
					items = append(items, item)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, put := range txn.Puts {
		if put.Key == word("configuration") || strings.HasPrefix(put.Key, word("entries")) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.state.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.state.revision++
	for _, put := range txn.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.state.revision})
}

func (s *store) grant(w http.ResponseWriter, q *http.Request) {
	var asked struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(q.Body).Decode(&asked) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	asked.TTLMs = max(1000, asked.TTLMs)
	ttl := time.Duration(asked.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.nextLease++
	id := s.state.nextLease
	s.state.leases[id] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": asked.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.state.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	s.state.leases[id] = lease
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": lease.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseUint(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// dump describes the keys of the store, for a person who looks for a fault.
func (s *store) dump() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var text strings.Builder
	for key, item := range s.state.items {
		_, _ = fmt.Fprintf(&text, "%s@%d ", key, item.Revision)
	}
	return text.String()
}
