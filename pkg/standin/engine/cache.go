package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/target"
)

// pathCache is where engines fetch each other's KV caches.
const pathCache = "/kv/"

// cache stands for the KV cache of one attempt: what was asked and what was
// generated so far.
type cache struct {
	Body   completionBody `json:"body"`
	Events []string       `json:"events"`
}

// sendCache gives another engine the KV cache of an attempt.
func (e *Engine) sendCache(w http.ResponseWriter, r *http.Request) {
	s := e.stream(ident.Attempt(r.PathValue("attempt")))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	events, _, _ := s.after(0)
	writeJSON(w, cache{Body: *s.body, Events: events})
}

// importCache fetches an attempt's KV cache from its engine and goes on with the
// stream.
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
		return errors.New("the peer has no such cache")
	}
	var held cache
	if err := json.NewDecoder(response.Body).Decode(&held); err != nil {
		return err
	}
	e.goOn(order.Attempt, &held)
	return nil
}

// goOn generates the rest of a stream that another engine began.
func (e *Engine) goOn(attempt ident.Attempt, held *cache) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(cancel, &held.Body)
	for _, event := range held.Events {
		s.add(event)
	}
	e.mu.Lock()
	e.streams[attempt] = s
	e.mu.Unlock()
	if s.whole() {
		s.finish()
		return
	}
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	go e.generate(ctx, s, &held.Body)
}
