package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// pathCache is the path prefix under which engines fetch each other's KV caches.
const pathCache = "/kv/"

// cache represents the KV cache of one attempt: the request body and the events
// generated so far.
type cache struct {
	Body   completionBody `json:"body"`
	Events []string       `json:"events"`
}

// sendCache serves the KV cache of an attempt to another engine.
func (e *Engine) sendCache(w http.ResponseWriter, r *http.Request) {
	s := e.stream(ident.Attempt(r.PathValue("attempt")))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	events, _, _ := s.after(0)
	writeJSON(w, cache{Body: *s.body, Events: events})
}

// importCache fetches an attempt's KV cache from the engine named in the order
// and continues the stream.
func (e *Engine) importCache(ctx context.Context, order target.Order) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+order.Peer+pathCache+string(order.Attempt), http.NoBody)
	if err != nil {
		return err
	}
	client := e.opts.Peers
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New("the peer has no KV cache of this attempt")
	}
	var fetched cache
	if err := json.NewDecoder(response.Body).Decode(&fetched); err != nil {
		return err
	}
	e.continueStream(order.Attempt, &fetched)
	return nil
}

// continueStream generates the rest of a stream that another engine started.
func (e *Engine) continueStream(attempt ident.Attempt, fetched *cache) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(cancel, &fetched.Body)
	for _, event := range fetched.Events {
		s.add(event)
	}
	e.mu.Lock()
	e.streams[attempt] = s
	e.mu.Unlock()
	if s.complete() {
		s.finish()
		return
	}
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	go e.generate(ctx, s, &fetched.Body)
}
